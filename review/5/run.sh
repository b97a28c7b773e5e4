#!/usr/bin/env bash
exec "$(dirname "$0")/../support/run.sh" 5
