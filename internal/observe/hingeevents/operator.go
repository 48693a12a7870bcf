package hingeevents

// Events of settings and operators.
const (
	RevisionApplied  Number = 800
	ChangeAccepted   Number = 801
	ChangeRefused    Number = 802
	ChangeRepeated   Number = 803
	RevisionUnread   Number = 804
	SettingsReloaded Number = 805
)

var operatorEntries = []Entry{
	{
		Number:   RevisionApplied,
		Name:     "revisionApplied",
		Severity: Info,
		Text:     "A configuration revision is in force in this process.",
	},
	{
		Number:   ChangeAccepted,
		Name:     "changeAccepted",
		Severity: Info,
		Text:     "An operator's change was accepted as a new revision.",
	},
	{
		Number:   ChangeRefused,
		Name:     "changeRefused",
		Severity: Info,
		Text:     "An operator's change was refused: it has problems, another was accepted first, or there is no quorum.",
	},
	{
		Number:   ChangeRepeated,
		Name:     "changeRepeated",
		Severity: Info,
		Text:     "An operator resent a change that had been accepted, and got the first answer again.",
	},
	{
		Number:   RevisionUnread,
		Name:     "revisionUnread",
		Severity: Failure,
		Text:     "An accepted revision has an item that this process can't read; it goes on with the one before.",
		Do:       "Bring the process to the version of the others, or take the item back with swifthinge apply.",
	},
	{
		Number:   SettingsReloaded,
		Name:     "settingsReloaded",
		Severity: Info,
		Text:     "The settings were read again; count is the seeds they name.",
	},
}
