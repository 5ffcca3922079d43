#!/usr/bin/env bash
exec "$(dirname "$0")/../Support/run-case" Case1 "$(dirname "$0")"
