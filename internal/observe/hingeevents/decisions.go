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
		Text:     "A request was refused on arrival because it could not meet its latency target.",
	},
	{
		Number:   WaitGivenUp,
		Name:     "waitGivenUp",
		Severity: Info,
		Text:     "A waiting request was refused because it could no longer meet its latency target.",
		Do:       "If there are many: add engines, or find the request class that fills the queue.",
	},
	{
		Number:   EngineSlow,
		Name:     "engineSlow",
		Severity: Warning,
		Text:     "An engine's token gap is far above the one expected at its fill; the engine gets fewer requests.",
		Do:       "Check the engine's host. The engine gets its full share again as soon as it is fast again.",
	},
	{
		Number:   EngineTakenBack,
		Name:     "engineTakenBack",
		Severity: Info,
		Text:     "A slow engine has its expected token gap again.",
	},
	{
		Number:   RequestPlacedAgain,
		Name:     "requestPlacedAgain",
		Severity: Info,
		Text:     "An accepted request is placed again because its KV cache was evicted or its engine failed.",
		Do:       "If there are many and no engine fails: raise the weight of wasted prefill in the rules.",
	},
	{
		Number:   BoundSlotRefused,
		Name:     "boundSlotRefused",
		Severity: Info,
		Text:     "The slot allocator of a decode engine refused a slot that this host expected to be free.",
	},
	{
		Number:   RoleShiftDecided,
		Name:     "roleShiftDecided",
		Severity: Info,
		Text:     "An engine was chosen to be drained and to change its role.",
	},
	{
		Number:   RetryBudgetUsedUp,
		Name:     "retryBudgetUsedUp",
		Severity: Warning,
		Text:     "A failed request was not retried because the retry budget was used up.",
		Do:       "Find the engine that fails.",
	},
	{
		Number:   PlacerSilent,
		Name:     "placerSilent",
		Severity: Warning,
		Text:     "The control host that places requests did not answer. The other control hosts are tried, and if none answers the entry host places requests itself.",
		Do:       "If it persists, check that the control host runs and is reachable.",
	},
	{
		Number:   MessageUnread,
		Name:     "messageUnread",
		Severity: Warning,
		Text:     "A message of another host could not be decoded and was ignored.",
		Do:       "Check that both hosts run the same build.",
	},
	{
		Number:   PoisonFound,
		Name:     "poisonFound",
		Severity: Warning,
		Text:     "A request was found to crash the servers that run it and is refused from now on; count is the number of crashed servers, detail has the servers and the time of the first crash.",
		Do:       "Find the caller by the field print of the serverEnded events, and fix the fault in the servers.",
	},
	{
		Number:   PoisonTried,
		Name:     "poisonTried",
		Severity: Info,
		Text:     "A request that crashed servers may run once more, as a probe of whether the fault was fixed.",
	},
	{
		Number:   PoisonAcquitted,
		Name:     "poisonAcquitted",
		Severity: Info,
		Text:     "A request that was refused because it had crashed servers was answered completely, and is no longer refused.",
	},
	{
		Number:   PoisonNotAgreed,
		Name:     "poisonNotAgreed",
		Severity: Warning,
		Text:     "A poison request could not be added to or removed from the list of refused requests, because there was no leader or a disk failed; the change is retried.",
		Do:       "Check that there is a leader and that the disks accept writes. Until then hosts refuse the request only on the basis of the crashes that were reported to them.",
	},
}
