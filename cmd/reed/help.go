package main

// pages are what help and the manual say of each command, by its full name.
var pages = map[string]string{
	"reed": `Any gateway takes any call, and the first of the named ones that answers is used. A call that fails goes to the
next after a pause that grows from 0.1 to 2 s; --within bounds it all. Nothing is served where clients call.

Exit codes: 0 done; 1 bad command line or file, nothing sent; 2 refused for good, or not there;
3 no gateway took it, nothing done; 4 no clear answer, may have been done; 5 another configuration is in
force than the one sent; 6 a rollout has ended the other way; 7 the two that were compared differ.

Examples:

    export REED_AT=10.0.0.1:8042,10.0.0.2:8042,10.0.0.3:8042
    reed status
    reed diff new.json
    reed put new.json`,
	"reed put": `Checks FILE, sends it, and reads back what is in force. A version that is not above the one held is acknowledged and
changes nothing, unless another text was accepted under that number, which is refused: exit code 5 tells of both. Raise
Epoch then, after a look at what is in force. The same again, byte for byte, does no harm, also after a lost answer.

Examples:

    reed put new.json
    jq '.Epoch = "0000000d"' old.json | reed put -`,
	"reed get": `Prints the newest configuration byte for byte as it was sent: keep it in your own archive after each change.

Examples:

    reed get > "config-$(date +%F).json"`,
	"reed diff": `With one FILE: what would change if it were put, against the configuration in force. With OLD and NEW: the two files,
and no gateway is called. Routes go by host and prefix, pools and tenants by name; order and spelling do not count.
Of tenants' keys no more than a quarter is shown, four characters at most. Both must be valid. Exit code 7 where they
differ, 0 where they do not.

Examples:

    reed diff new.json                       # before a put
    reed diff yesterday.json today.json      # offline
    reed get | reed diff - archive.json      # did anybody change it by hand?
    reed diff --json new.json | jq '.Changes[] | select(.Kind == "tenant")'`,
	"reed status": `One gateway's view: the processes with their parts in agreement, and how many servers of each service are in which
phase. STATE, HOLDS and READY of another are what that one said last.

Examples:

    reed status
    reed --at 10.0.0.2:8042 status --json | jq .Pact`,
	"reed members": `The gateways, as one of them sees them. FOR is how long it has seen them in that state; NEWS how long ago it heard of
them; WATCHED BY whom their heartbeats go to. A gateway that does not watch another (* behind NEWS) hears only of
changes, so that old news of one is no trouble: ask one of its watchers. STARTED goes by the clock of the one that started.

Examples:

    reed members
    reed --at 10.0.0.2:8042 members                                   # how does that one see it?
    reed members --json | jq -r '.Gateways[] | select(.Ready | not) | .Name'`,
	"reed services": `The servers, all or those of one SERVICE. LAST BEAT is asked of each server's home, where its beats come to, once and
side by side; "unknown" where the home does not answer or has just become one. --here asks nobody else.

Examples:

    reed services
    reed services payments
    reed services --json | jq '.Servers[] | select(.BeatS > 3)'`,
	"reed epochs": `Who is primary, backup and witness, and the changes of it that one process has seen since its start (the last 64, the
newest first). An epoch that grows every few seconds is a disk or a link in trouble.

Examples:

    reed epochs
    for g in 10.0.0.1:8042 10.0.0.2:8042 10.0.0.3:8042; do reed --at $g epochs; done`,
	"reed quotas": `Whose counters one gateway reads, how many gateways it makes shares for, and how many requests it has passed and refused
since its start: by the first or the second holder, unread (a start allowance), by its own share (no holder answers). A
gateway that is often behind its holder passes more than the tenant has left.

Examples:

    reed --at 10.0.0.2:8042 quotas
    reed quotas --json | jq '.BehindUnits'`,
	"reed drain": `Makes one gateway send clients elsewhere: it is not ready at once, ends each connection behind its next answer and after
2.5 s the idle ones, and serves what still comes. It goes on with all else: servers' beats, quotas, agreement. A drain does
not outlive the process. Refused (2) where no other gateway is ready, unless --alone. Nobody but the one that is named is
called to drain: by NAME, which any gateway of --at knows, or as the only one of --at.

Examples:

    reed drain edge-2
    reed --at 10.0.0.2:8042 drain
    reed drain --stop edge-2`,
	"reed rollout": `How the newest configuration is taken up: live, prepared by whom, refused, withdrawn.

Examples:

    reed rollout
    reed rollout watch
    reed rollout withdraw 0000000d`,
	"reed rollout withdraw": `Exit codes: 0 withdrawn; 2 no such version is kept; 4 no clear answer, the same again does no harm;
5 a higher version is kept; 6 it is live already.

Examples:

    reed rollout withdraw 0000000d`,
	"reed rollout watch": `Exit codes: 0 live; 4 neither when the time is over; 5 a higher version is kept; 6 withdrawn.

Examples:

    reed rollout watch
    reed rollout watch --for 10m 0000000d`,
	"reed log": `The last 256 lines of one gateway, the oldest first.

Examples:

    reed --at 10.0.0.2:8042 log | grep drain`,
	"reed check": `Tells all that is wrong with a configuration, each with file and key; nothing is sent.

Examples:

    reed check new.json`,
	"reed settings": `Tells all that is wrong with the settings file of a process, each with line and key.

Examples:

    reed settings /etc/asterwell/settings.yaml`,
	"reed fault": `Fault rules make single tenants' requests late, lost or doubled, for exercises.

Examples:

    reed fault put rules.json
    reed fault status
    reed fault stop`,
	"reed man": `Prints the manual page of all commands in roff.

Examples:

    reed man > /usr/local/share/man/man1/reed.1`,
}
