#!/usr/bin/env bash
exec "$(dirname "$0")/../Support/run-case" Case3 "$(dirname "$0")"
