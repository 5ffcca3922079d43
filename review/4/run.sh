#!/usr/bin/env bash
exec "$(dirname "$0")/../Support/run-case" Case4 "$(dirname "$0")"
