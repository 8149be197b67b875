#!/bin/sh
# run-case.sh CASE_FOLDER STAND_IN: runs a stand-in against the built daemon.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
case_folder=$(cd "$1" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
program=$PWD/target/packages/control/bilberryd
standin=$PWD/target/review-3/$2
[ -x "$program" ] && [ -x "$standin" ] || { echo "build first"; exit 2; }
folder=$(mktemp -d) || exit 2
timeout -k 2 100 "$standin" "$program" "$folder" "$case_folder/record.txt" "${TROUBLE:-1}"
end=$?
# Only daemons that this run started have its folder in their command line.
for process in /proc/[0-9]*; do
  if { tr "\0" " " < "$process/cmdline"; } 2> /dev/null | grep -q -- "--settings=$folder/"; then
    kill -9 "${process#/proc/}"
  fi
done
rm -rf "$folder"
[ $end -le 2 ] || end=2
exit $end
