package hingeevents

// Events of the ledger of requests that must run at most once, and, from 590, of
// the links between processes.
const (
	KeyClaimed           Number = 500
	KeyUncertain         Number = 501
	LedgerUnreachable    Number = 502
	LedgerFull           Number = 503
	LedgerNoteDropped    Number = 504
	KeeperBegan          Number = 510
	KeeperJournalTorn    Number = 511
	KeeperFailed         Number = 512
	LinkLost             Number = 590
	LinkInstanceRejected Number = 591
	LinkInstanceAccepted Number = 592
)

var ledgerEntries = []Entry{
	{
		Number:      KeyClaimed,
		Name:        "keyClaimed",
		Severity:    Info,
		Description: "An idempotency key was claimed before its request was sent.",
	},
	{
		Number:      KeyUncertain,
		Name:        "keyUncertain",
		Severity:    Warning,
		Description: "A request was refused because an earlier attempt with its key may have run and its outcome is unknown.",
	},
	{
		Number:      LedgerUnreachable,
		Name:        "ledgerUnreachable",
		Severity:    Warning,
		Description: "The quorum or a zone's key owner could not be reached; requests that need it are refused as not run until it can.",
		Action:      "If it persists: check swifthinge status for disk hosts that are unreachable.",
	},
	{
		Number:      LedgerFull,
		Name:        "ledgerFull",
		Severity:    Failure,
		Description: "The ledger has no capacity for a new key: of the caller in the event, or of any caller if there is none. Requests with new keys are refused as not run.",
		Action:      "Shorten keepKeys in the rules, or find out why the caller uses so many keys.",
	},
	{
		Number:      LedgerNoteDropped,
		Name:        "ledgerNoteDropped",
		Severity:    Warning,
		Description: "An answer or a release of a key could not be recorded in the ledger in time; resends with the key are refused as uncertain.",
	},
	{
		Number:      KeeperBegan,
		Name:        "keeperBegan",
		Severity:    Warning,
		Description: "A zone's key owner started with an empty disk. Keys that the zone issued before are refused as uncertain.",
		Action:      "Nothing on the host's first start. Otherwise its disk was lost or its dataFolder changed.",
	},
	{
		Number:      KeeperJournalTorn,
		Name:        "keeperJournalTorn",
		Severity:    Info,
		Description: "The last write of a key owner's journal was incomplete and was truncated; it had not been acknowledged.",
	},
	{
		Number:      KeeperFailed,
		Name:        "keeperFailed",
		Severity:    Failure,
		Description: "A write to a key owner's disk failed. The process exits because the content of the disk is uncertain; the zone's issued keys are refused as not run until it is restarted.",
		Action:      "Check the disk, then restart the process.",
	},
	{
		Number:      LinkLost,
		Name:        "linkLost",
		Severity:    Warning,
		Description: "The connection to another entry host was lost or could not be established; it is retried until it succeeds.",
		Action:      "If it persists: check that the host runs, that UDP traffic passes between the two hosts, and that both certificates are valid and of the same authority.",
	},
	{
		Number:      LinkInstanceRejected,
		Name:        "linkInstanceRejected",
		Severity:    Warning,
		Description: "Messages of a host are rejected, since another instance of it is still connected or was until a moment ago; the event is recorded once until the current instance is replaced.",
		Action:      "If no linkInstanceAccepted of the host follows within seconds: two processes run for the host; end the one that was started first.",
	},
	{
		Number:      LinkInstanceAccepted,
		Name:        "linkInstanceAccepted",
		Severity:    Info,
		Description: "Another instance of a host is accepted after messages were rejected; count is the number of those.",
	},
}
