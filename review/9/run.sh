#!/bin/sh
# Entries of another writer name the addresses of servers. TROUBLE=0: there are
# no such entries.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/foreign_entry review/9 address
