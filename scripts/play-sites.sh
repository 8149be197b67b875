#!/usr/bin/env bash
# Plays the standard days of the users' deployments, newest milestone first.
# Usage: scripts/play-sites.sh BENCH SITES_FOLDER WHY
# BENCH is the users' bench program; SITES_FOLDER holds its site files, one
# folder a milestone.
set -euo pipefail

if [ "$#" -ne 3 ]; then
  sed -n '2,5s/^# //p' "$0" >&2
  exit 2
fi
bench="$1"
folder="$2"
why="$3"

sites=(
  further/dhoran-trails
  further-grown/dhoran-trails-grown
  large/bibliobus-reseau-large
  grown/approdi-libro-grown
  grown/bibliobus-reseau-grown
)
for site in "${sites[@]}"; do
  "$bench" score "$folder/$site.toml" --jobs 3 --why "$why"
done
