package hingeevents

// Events of membership and announcements.
const (
	HostAlive    Number = 300
	HostSuspect  Number = 301
	HostLeaving  Number = 302
	HostOver     Number = 303
	ServerUsable Number = 310
	ServerGone   Number = 311
	// AnnouncementRefused is recorded once a second at most.
	AnnouncementRefused Number = 312
)

var membershipEntries = []Entry{
	{
		Number:   HostAlive,
		Name:     "hostAlive",
		Severity: Info,
		Text:     "An entry host was heard from for the first time in this life, or again.",
	},
	{
		Number:   HostSuspect,
		Name:     "hostSuspect",
		Severity: Warning,
		Text:     "An entry host answers neither this host nor those asked to probe it.",
		Do:       "If it stays so, look whether the host runs and whether its zone is cut off.",
	},
	{
		Number:   HostLeaving,
		Name:     "hostLeaving",
		Severity: Info,
		Text:     "An entry host shuts down and takes no new work.",
	},
	{
		Number:   HostOver,
		Name:     "hostOver",
		Severity: Warning,
		Text:     "A life of an entry host is over: it ended, was replaced, or was recorded so.",
	},
	{
		Number:   ServerUsable,
		Name:     "serverUsable",
		Severity: Info,
		Text:     "A backend server may be given work.",
	},
	{
		Number:   ServerGone,
		Name:     "serverGone",
		Severity: Warning,
		Text:     "A backend server leaves or has been silent too long; it gets no new work.",
		Do:       "If nobody shut it down, look at the server and its announcements.",
	},
	{
		Number:   AnnouncementRefused,
		Name:     "announcementRefused",
		Severity: Warning,
		Text:     "What came as an announcement names no backend server that could be used; count is how many came since the last of these lines.",
		Do:       "Look who writes to the control hosts: detail has what is wrong with the last one.",
	},
}
