#!/usr/bin/env bash
exec "$(dirname "$0")/../play" leave-then-kill "$(dirname "$0")"
