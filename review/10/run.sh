#!/bin/sh
# A large entry of another writer can't be read. TROUBLE=0: there is none.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/foreign_entry review/10 bytes
