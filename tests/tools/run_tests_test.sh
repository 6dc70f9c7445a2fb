#!/usr/bin/env bash
# Checks that tools/run-tests tolerates exactly the listed failures. A fake ctest lists three tests and fails those
# named in FAILING.
set -uo pipefail
tool=$(cd "$(dirname "$0")/../.." && pwd)/tools/run-tests
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$work/bin" "$work/build/Testing/Temporary"

cat >"$work/bin/ctest" <<'FAKE_CTEST'
#!/usr/bin/env bash
for argument in "$@"; do
  if [ "$argument" = -N ]; then
    printf '  Test #1: Suite.first\n  Test #2: Suite.second/param\n  Test #3: Suite.third\n'
    exit 0
  fi
done
[ -z "$FAILING" ] && exit 0
number=0
for test in $FAILING; do
  number=$((number + 1))
  echo "$number:$test" >>"$BUILD/Testing/Temporary/LastTestsFailed.log"
done
exit 8
FAKE_CTEST
chmod +x "$work/bin/ctest"

readonly details="command, seed 1 | a failure | issue 1"  # of a listed test
failures=0
# check DESCRIPTION EXPECTED_STATUS EXPECTED_TEXT FAILING_TESTS LISTED_LINE...
check() {
  local description=$1 expected=$2 text=$3 failing=$4 output status
  shift 4
  printf '%s\n' "$@" >"$work/known"
  output=$(PATH=$work/bin:$PATH FAILING=$failing BUILD=$work/build "$tool" "$work/build" "$work/known" 2>&1)
  status=$?
  if [ "$status" -ne "$expected" ] || ! grep -qF "$text" <<<"$output"; then
    printf 'FAILED: %s: status %s, expected %s with "%s"\n%s\n' "$description" "$status" "$expected" "$text" "$output"
    failures=$((failures + 1))
  fi
}

check "all pass, nothing listed" 0 "" "" ""
check "the listed test fails" 0 "Suite.second/param | $details" "Suite.second/param" \
  "# a comment" "Suite.second/param | $details"
check "another test fails" 1 "failed and not listed" "Suite.first Suite.third" "Suite.first | $details"
check "an unlisted test fails" 1 "Suite.third" "Suite.third" ""
check "a listed test passes" 1 "passed although listed" "" "Suite.first | $details"
check "a listed test does not exist" 1 "no such test" "Suite.first" \
  "Suite.first | $details" "Suite.other | $details"
check "more than three are listed" 1 "more than 3" "Suite.first" \
  "Suite.first | $details" "Suite.second/param | $details" "Suite.third | $details" \
  "Suite.fourth | $details"
exit "$failures"
