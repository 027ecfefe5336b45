#!/bin/sh
# Tests the built adapter with small hand-written batches.
set -eu
drill=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

start='CONTEXT who=4
NEW_INSTANCE entropy=7 allowed.connIdle=9000 allowed.maxAttempts=4 allowed.maxOpen=40 allowed.maxRetryAfter=900 allowed.retryAfter=true allowed.secondCopies=false allowed.streamsPerConn=1 unheard.of=x classes.count=1 classes.0.aim=1000 classes.0.deadline=5000 classes.0.idempotency=idempotent classes.0.keyScope=all classes.0.lateWorth=0.5 classes.0.name=note classes.0.worth=1 discovery=automatic familyInfo.kindApart=false familyInfo.kindBatch=1 familyInfo.losesWorth=linear familyInfo.workers=8 hostTypes=plain overShareWorth=0.1 rules.overloadFactor=2 rules.overloadFor=3000 rules.startCapacity=0.2 rules.warmAfter=9000 stats.fields= tick=5 weights=off
MANIFEST sheet=0 records=1
HOST hw=plain state=Running dc=z host=h.one cell=3
FLEET how=warm_copy rev=1 sheet=0'

fail() { echo "FAILED: $1"; cat "$work/out" "$work/err"; exit 1; }

# A message is sent to the only host, and its outcome completes it: no further line names it.
printf 'TICK atTime=100\n%s\nACCEPT ticket=9 priority=note validUntil=5100 calledNode=3\nSOMETHING new=1\nFLUSH\nTICK atTime=150\nCONTEXT who=4\nSETTLED ticket=9 trial=0 host=h.one terminal=1 rc=S elapsed=50\nFLUSH\nTICK atTime=160\nFLUSH\n' "$start" \
  | "$drill" >"$work/out" 2>"$work/err" || fail "plain batch: exit status"
grep -q '^HAND_OFF ticket=9 host=h.one within=' "$work/out" || fail "plain batch: no send"
[ "$(grep -c '^YIELD$' "$work/out")" -eq 3 ] || fail "plain batch: replies"
[ "$(grep -c 'ticket=9' "$work/out")" -eq 1 ] || fail "plain batch: acted on a finished message"

# Invalid lines: one error message, exit status 2, no partial reply.
bad() {
  printf "$1" "$start" | "$drill" >"$work/out" 2>"$work/err" && fail "$2: exit status 0"
  status=0
  printf "$1" "$start" | "$drill" >"$work/out" 2>"$work/err" || status=$?
  [ "$status" -eq 2 ] || fail "$2: exit status $status"
  [ "$(wc -l <"$work/err")" -eq 1 ] || fail "$2: not one message"
  grep -q "$3" "$work/err" || fail "$2: field not named"
  [ ! -s "$work/out" ] || fail "$2: partial reply"
}
bad 'TICK atTime=1\n%s\nACCEPT ticket=nine priority=note validUntil=5 calledNode=3\nFLUSH\n' "bad number" 'ACCEPT: ticket'
bad 'TICK atTime=1\n%s\nACCEPT priority=note validUntil=5 calledNode=3\nFLUSH\n' "missing part" 'ACCEPT: ticket: missing'
bad 'CONTEXT who=1\n%.0sFLUSH\n' "before TICK" 'CONTEXT: before TICK'
bad 'TICK atTime=1\n%s\nCONTEXT who=5\nTIMER name=1\nFLUSH\n' "unknown instance" 'TIMER: unknown instance'

# Invalid settings lead to BROKEN with the error text of the module.
printf 'TICK atTime=1\n%s\nFLUSH\n' "$start" | sed 's/familyInfo.workers=8/familyInfo.workers=0/' \
  | "$drill" >"$work/out" 2>"$work/err" || true
grep -q '^BROKEN reasonText=.*slots' "$work/out" || fail "invalid settings: no BROKEN"

: | "$drill" >"$work/out" || fail "end of input: exit status"
echo "drill batches: ok"
