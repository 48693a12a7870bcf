package hingeevents

// Events of the configuration log.
const (
	ElectionStarted    Number = 200
	LeaderElected      Number = 201
	LeaderSteppedDown  Number = 202
	SnapshotInstalled  Number = 203
	LearnerAdded       Number = 204
	MemberPromoted     Number = 205
	MemberRemoved      Number = 206
	DiskForgetful      Number = 207
	JournalCut         Number = 208
	JournalFailed      Number = 209
	GroupFounded       Number = 210
	RevisionFromPeer   Number = 211
	SpreadingCutOff    Number = 212
	SpreadingMended    Number = 213
	OldRevisionRefused Number = 214
	// ConfigReadFailed and ConfigUnreadable are recorded at most once every five seconds.
	ConfigReadFailed Number = 215
	ConfigUnreadable Number = 216
	ConfigReadable   Number = 217
	JournalOpened    Number = 218
	DiskRenewed      Number = 219
)

var logEntries = []Entry{
	{
		Number:      ElectionStarted,
		Name:        "electionStarted",
		Severity:    Warning,
		Description: "A voter received no message from a leader in time and requests votes.",
	},
	{
		Number:      LeaderElected,
		Name:        "leaderElected",
		Severity:    Info,
		Description: "This host was elected leader of the group; fence is its term.",
	},
	{
		Number:      LeaderSteppedDown,
		Name:        "leaderSteppedDown",
		Severity:    Warning,
		Description: "This host no longer leads: it lost contact to the quorum or received a message of a later term.",
	},
	{
		Number:      SnapshotInstalled,
		Name:        "snapshotInstalled",
		Severity:    Info,
		Description: "This host was far behind the leader and installed a snapshot.",
	},
	{
		Number:      LearnerAdded,
		Name:        "learnerAdded",
		Severity:    Info,
		Description: "A host participates as a learner, without a vote: its disk is new, or its vote was given to another host.",
	},
	{
		Number:      MemberPromoted,
		Name:        "memberPromoted",
		Severity:    Info,
		Description: "A learner has everything that is committed on its disk and became a voter: the repair is complete.",
	},
	{
		Number:      MemberRemoved,
		Name:        "memberRemoved",
		Severity:    Info,
		Description: "A host's disk was removed from the group.",
	},
	{
		Number:      DiskForgetful,
		Name:        "diskForgetful",
		Severity:    Failure,
		Description: "This host's disk has lost data: host knows that it held more than it does now. Detail has both.",
		Action: "Look at the disk: it has lost synced data, or was restored from a copy. The host rejoins by itself (219) once the " +
			"others have a leader. If they don't, keep the folder, and bring back the host that is named.",
	},
	{
		Number:      JournalCut,
		Name:        "journalCut",
		Severity:    Warning,
		Description: "The journal ended in an incomplete write, which was truncated; nothing of it had been confirmed.",
	},
	{
		Number:      JournalFailed,
		Name:        "journalFailed",
		Severity:    Failure,
		Description: "A write or sync of the journal failed; this host no longer participates in the group.",
		Action:      "Repair or replace the disk and start the process.",
	},
	{
		Number:      GroupFounded,
		Name:        "groupFounded",
		Severity:    Info,
		Description: "This host's disk was empty, and the host stored the first state of the group; count is the number of voters.",
	},
	{
		Number:      RevisionFromPeer,
		Name:        "revisionFromPeer",
		Severity:    Warning,
		Description: "No disk host could be reached; the configuration was received from a host of the same zone.",
	},
	{
		Number:      SpreadingCutOff,
		Name:        "spreadingCutOff",
		Severity:    Warning,
		Description: "No disk host could be reached for several seconds; the last configuration stays in force.",
		Action:      "Check the network links to the disk hosts.",
	},
	{
		Number:      SpreadingMended,
		Name:        "spreadingMended",
		Severity:    Info,
		Description: "A disk host can be reached again.",
	},
	{
		Number:      OldRevisionRefused,
		Name:        "oldRevisionRefused",
		Severity:    Warning,
		Description: "A host offered an older configuration than the one in force in this process; it was refused.",
	},
	{
		Number:      ConfigReadFailed,
		Name:        "configReadFailed",
		Severity:    Warning,
		Description: "This control host answered an operator's reads of the configuration with status 503; count is their number since the last such event, detail has the reason of the last.",
	},
	{
		Number:      ConfigUnreadable,
		Name:        "configUnreadable",
		Severity:    Warning,
		Description: "The configuration has not been readable at this control host for over a second; took is for how long, host the leader that it knows, and detail the reason, the members, which of them answer and what mends it.",
		Action:      "See \"The configuration can't be read\" in OPERATIONS.md.",
	},
	{
		Number:      ConfigReadable,
		Name:        "configReadable",
		Severity:    Info,
		Description: "The configuration can be read at this control host again; took is how long it could not, host the leader.",
	},
	{
		Number:      JournalOpened,
		Name:        "journalOpened",
		Severity:    Info,
		Description: "A group's journal was read back at a start or after a failed write, in tookMs; count is its last entry, fence its term.",
	},
	{
		Number:   DiskRenewed,
		Name:     "diskRenewed",
		Severity: Warning,
		Description: "This host's disk became a new, empty one, and joins again: it had lost data, and host leads a quorum without it; " +
			"or, without a host, it was empty and looked older than the disk before.",
	},
}
