package hingeevents

// Events of membership and announcements.
const (
	HostAlive    Number = 300
	HostSuspect  Number = 301
	HostLeaving  Number = 302
	HostOver     Number = 303
	ServerUsable Number = 310
	ServerGone   Number = 311
	// AnnouncementRefused is recorded at most once a second.
	AnnouncementRefused Number = 312
	DirectoryFull       Number = 313
	// RecordContradicted is recorded at most once a second.
	RecordContradicted Number = 314
	RecordsNotReturned Number = 315
)

var membershipEntries = []Entry{
	{
		Number:      HostAlive,
		Name:        "hostAlive",
		Severity:    Info,
		Description: "An entry host is alive: a message of it was received for the first time, or again after a silence.",
	},
	{
		Number:      HostSuspect,
		Name:        "hostSuspect",
		Severity:    Warning,
		Description: "An entry host answers neither this host nor the hosts that were requested to probe it.",
		Action:      "If it persists, check that the host runs and that its zone is reachable.",
	},
	{
		Number:      HostLeaving,
		Name:        "hostLeaving",
		Severity:    Info,
		Description: "An entry host shuts down and accepts no new requests.",
	},
	{
		Number:      HostOver,
		Name:        "hostOver",
		Severity:    Warning,
		Description: "An instance of an entry host is over: it stopped, was replaced by a newer one, or was recorded as over.",
	},
	{
		Number:      ServerUsable,
		Name:        "serverUsable",
		Severity:    Info,
		Description: "A backend server may be given requests.",
	},
	{
		Number:      ServerGone,
		Name:        "serverGone",
		Severity:    Warning,
		Description: "A backend server is leaving, or its announcements have been missing too long; it gets no new requests.",
		Action:      "If it was not shut down on purpose, check the server and its announcements.",
	},
	{
		Number:      AnnouncementRefused,
		Name:        "announcementRefused",
		Severity:    Warning,
		Description: "An announcement was refused because it doesn't describe a usable backend server; count is the number refused since the last such event.",
		Action:      "Find the sender; detail has the fault of the last announcement.",
	},
	{
		Number:      DirectoryFull,
		Name:        "directoryFull",
		Severity:    Warning,
		Description: "This host knows as many backend servers as it may, those that left in the last minutes included, and ignores further ones; count is the limit.",
		Action:      "Find what announces servers under ever new names; the events announcementRefused at the control hosts name some of them.",
	},
	{
		Number:      RecordContradicted,
		Name:        "recordContradicted",
		Severity:    Info,
		Description: "A report of a backend server arrived late, or a second time, at the control host named, which took the server over; this host has a newer one and sent its record again. count is the number since the last such event.",
		Action:      "If such events go on, check the path between the server and the control hosts.",
	},
	{
		Number:      RecordsNotReturned,
		Name:        "recordsNotReturned",
		Severity:    Warning,
		Description: "A control host that was restarted didn't take the records of backend servers that it lacks from this entry host; other entry hosts return the same.",
		Action:      "Check the link to the host that the event names, if servers that are gone go on being used.",
	},
}
