package hingeevents

// Events of settings and operators.
const (
	RevisionApplied  Number = 800
	ChangeAccepted   Number = 801
	ChangeRefused    Number = 802
	ChangeRepeated   Number = 803
	RevisionUnread   Number = 804
	SettingsReloaded Number = 805
	RevisionMissing  Number = 806
	RevisionBehind   Number = 807
	ControlSilent    Number = 808
)

var operatorEntries = []Entry{
	{
		Number:      RevisionApplied,
		Name:        "revisionApplied",
		Severity:    Info,
		Description: "A configuration revision is in force in this process.",
	},
	{
		Number:      ChangeAccepted,
		Name:        "changeAccepted",
		Severity:    Info,
		Description: "An operator's change was accepted as a new revision.",
	},
	{
		Number:      ChangeRefused,
		Name:        "changeRefused",
		Severity:    Info,
		Description: "An operator's change was refused: it is invalid, another change was accepted first, or there is no quorum.",
	},
	{
		Number:      ChangeRepeated,
		Name:        "changeRepeated",
		Severity:    Info,
		Description: "An operator resent a change that had already been accepted, and received the first answer again.",
	},
	{
		Number:      RevisionUnread,
		Name:        "revisionUnread",
		Severity:    Failure,
		Description: "An accepted revision has an item that this process can't decode; the previous revision stays in force here.",
		Action:      "Update the process to the version of the others, or revert the item with swifthinge apply.",
	},
	{
		Number:      SettingsReloaded,
		Name:        "settingsReloaded",
		Severity:    Info,
		Description: "The settings were reloaded; count is the number of seed hosts in them.",
	},
	{
		Number:      RevisionMissing,
		Name:        "revisionMissing",
		Severity:    Warning,
		Description: "A newer configuration was not fetched from a control host; the previous one stays in force here until it is.",
		Action:      "Check the link to the host that the event names, if such events go on.",
	},
	{
		Number:      RevisionBehind,
		Name:        "revisionBehind",
		Severity:    Warning,
		Description: "This entry host has known of the revision named for took, and still serves by an older one; it says so every five seconds.",
		Action:      "Look for revisionMissing and revisionUnread on the same host, and for linkLost.",
	},
	{
		Number:      ControlSilent,
		Name:        "controlSilent",
		Severity:    Warning,
		Description: "No control host has responded to this entry host for took; it serves by the revision named, and by the servers that it knew. count is the number of control hosts that it knows. It says so every five seconds.",
		Action:      "Look for linkLost on the same host, and compare its seeds with the addresses of the control hosts.",
	},
}
