package hingeevents

// Events of decisions under load.
const (
	RequestRefused     Number = 700
	WaitGivenUp        Number = 701
	EngineSlow         Number = 702
	EngineTakenBack    Number = 703
	RequestPlacedAgain Number = 704
	BoundSlotRefused   Number = 705
	RoleShiftDecided   Number = 706
	RetryBudgetUsedUp  Number = 707
	PlacerSilent       Number = 708
	MessageUnread      Number = 709
	PoisonFound        Number = 710
	PoisonTried        Number = 711
	PoisonAcquitted    Number = 712
	PoisonNotAgreed    Number = 713
)

var decisionEntries = []Entry{
	{
		Number:   RequestRefused,
		Name:     "requestRefused",
		Severity: Info,
		Text:     "A request was refused because it could not meet its target.",
	},
	{
		Number:   WaitGivenUp,
		Name:     "waitGivenUp",
		Severity: Info,
		Text:     "A request that waited was refused, as its target had come out of reach.",
		Do:       "If many: add engines, or look which class of work fills the queue.",
	},
	{
		Number:   EngineSlow,
		Name:     "engineSlow",
		Severity: Warning,
		Text:     "An engine's token gap is far above what its fill explains; it is given less.",
		Do:       "Look at the engine's host. It is taken back by itself once it is fast again.",
	},
	{
		Number:   EngineTakenBack,
		Name:     "engineTakenBack",
		Severity: Info,
		Text:     "An engine that was slow keeps to its token gap again.",
	},
	{
		Number:   RequestPlacedAgain,
		Name:     "requestPlacedAgain",
		Severity: Info,
		Text:     "An accepted request is placed again: its KV cache was evicted, or its engine failed.",
		Do:       "If many and no engine fails: weigh wasted prefill more in the rules.",
	},
	{
		Number:   BoundSlotRefused,
		Name:     "boundSlotRefused",
		Severity: Info,
		Text:     "The granter of a decode engine refused a slot that this host had thought free.",
	},
	{
		Number:   RoleShiftDecided,
		Name:     "roleShiftDecided",
		Severity: Info,
		Text:     "An engine is to be drained and to change its role.",
	},
	{
		Number:   RetryBudgetUsedUp,
		Name:     "retryBudgetUsedUp",
		Severity: Warning,
		Text:     "A request that failed was not repeated, as the budget of repeats was used up.",
		Do:       "Look which engine fails.",
	},
	{
		Number:   PlacerSilent,
		Name:     "placerSilent",
		Severity: Warning,
		Text:     "The control host that places requests didn't answer; others are asked, and the own host places if none does.",
		Do:       "If it lasts, look whether that host runs and can be reached.",
	},
	{
		Number:   MessageUnread,
		Name:     "messageUnread",
		Severity: Warning,
		Text:     "What another host told of the end of a request can't be read, and is passed over.",
		Do:       "Look whether both hosts run the same build.",
	},
	{
		Number:   PoisonFound,
		Name:     "poisonFound",
		Severity: Warning,
		Text:     "A request was found to end the servers that run it, and is refused from now on; count is how many ended, detail which and since when.",
		Do:       "Find its caller by the print in serverEnded lines, and mend what it ends.",
	},
	{
		Number:   PoisonTried,
		Name:     "poisonTried",
		Severity: Info,
		Text:     "A request that ended servers may run once more, to see whether that was mended.",
	},
	{
		Number:   PoisonAcquitted,
		Name:     "poisonAcquitted",
		Severity: Info,
		Text:     "A request that was refused because servers had ended under it was answered whole, and is refused no more.",
	},
	{
		Number:   PoisonNotAgreed,
		Name:     "poisonNotAgreed",
		Severity: Warning,
		Text:     "A request that ends servers could not be put on the list, or taken off, for want of a leader or a disk; it is tried again.",
		Do:       "Look whether a leader is heard and disks take writes. Until then the request is refused by what hosts have told only.",
	},
}
