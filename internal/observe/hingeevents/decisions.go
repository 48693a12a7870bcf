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
		Number:      RequestRefused,
		Name:        "requestRefused",
		Severity:    Info,
		Description: "A request was refused on arrival because it could not meet its latency target.",
	},
	{
		Number:      WaitGivenUp,
		Name:        "waitGivenUp",
		Severity:    Info,
		Description: "A waiting request was refused because it could no longer meet its latency target.",
		Action:      "If there are many: add engines, or find the request class that fills the queue.",
	},
	{
		Number:      EngineSlow,
		Name:        "engineSlow",
		Severity:    Warning,
		Description: "An engine's token gap is far above the one expected at its fill; the engine gets fewer requests.",
		Action:      "Check the engine's host. The engine gets its full share again as soon as it is fast again.",
	},
	{
		Number:      EngineTakenBack,
		Name:        "engineTakenBack",
		Severity:    Info,
		Description: "A slow engine has its expected token gap again.",
	},
	{
		Number:      RequestPlacedAgain,
		Name:        "requestPlacedAgain",
		Severity:    Info,
		Description: "An accepted request is placed again because its KV cache was evicted or its engine failed.",
		Action:      "If there are many and no engine fails: raise the weight of wasted prefill in the rules.",
	},
	{
		Number:      BoundSlotRefused,
		Name:        "boundSlotRefused",
		Severity:    Info,
		Description: "The slot allocator of a decode engine refused a slot that this host expected to be free.",
	},
	{
		Number:      RoleShiftDecided,
		Name:        "roleShiftDecided",
		Severity:    Info,
		Description: "An engine was chosen to be drained and to change its role.",
	},
	{
		Number:      RetryBudgetUsedUp,
		Name:        "retryBudgetUsedUp",
		Severity:    Warning,
		Description: "A failed request was not retried because the retry budget was used up.",
		Action:      "Find the engine that fails.",
	},
	{
		Number:      PlacerSilent,
		Name:        "placerSilent",
		Severity:    Warning,
		Description: "The control host that places requests did not answer. The other control hosts are tried, and if none answers the entry host places requests itself.",
		Action:      "If it persists, check that the control host runs and is reachable.",
	},
	{
		Number:      MessageUnread,
		Name:        "messageUnread",
		Severity:    Warning,
		Description: "A message of another host could not be decoded and was ignored.",
		Action:      "Check that both hosts run the same build.",
	},
	{
		Number:      PoisonFound,
		Name:        "poisonFound",
		Severity:    Warning,
		Description: "A request, or a part of prompts, was found to crash the servers that run it and is refused from now on; count is the number of crashed servers, detail has the servers and the time of the first crash.",
		Action:      "Find the caller by the field print of the serverEnded events, and fix the fault in the servers.",
	},
	{
		Number:      PoisonTried,
		Name:        "poisonTried",
		Severity:    Info,
		Description: "A request that crashed servers may run once more, as a probe of whether the fault was fixed.",
	},
	{
		Number:      PoisonAcquitted,
		Name:        "poisonAcquitted",
		Severity:    Info,
		Description: "A request that was refused because it had crashed servers was answered completely, and is no longer refused.",
	},
	{
		Number:      PoisonNotAgreed,
		Name:        "poisonNotAgreed",
		Severity:    Warning,
		Description: "A poison request could not be added to or removed from the list of refused requests, because there was no leader or a disk failed; the change is retried.",
		Action:      "Check that there is a leader and that the disks accept writes. Until then hosts refuse the request only on the basis of the crashes that were reported to them.",
	},
}
