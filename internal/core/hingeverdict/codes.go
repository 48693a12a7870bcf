package hingeverdict

// The codes of all refusals and failures, by cause: 1xxx for the request or its
// caller, 2xxx for load, 3xxx for a backend server and 4xxx for the router itself.
const (
	CodeMalformed          Code = 1001
	CodeTooLarge           Code = 1002
	CodeUnknownModel       Code = 1003
	CodeUnknownService     Code = 1004
	CodeNoCaller           Code = 1005
	CodeKeyMissing         Code = 1006
	CodeKeyOtherBody       Code = 1007
	CodeKeyInProgress      Code = 1008
	CodeKeyUncertain       Code = 1009
	CodeMethodNotAllowed   Code = 1010
	CodeNoRoute            Code = 1011
	CodeNoCustomer         Code = 1012
	CodePoison             Code = 1013
	CodeQueueFull          Code = 2001
	CodeTargetOutOfReach   Code = 2002
	CodeDeadline           Code = 2003
	CodeCallerShare        Code = 2004
	CodeShuttingDown       Code = 2005
	CodeNoServer           Code = 3001
	CodeServerRefused      Code = 3002
	CodeServerFailed       Code = 3003
	CodeServerSilent       Code = 3004
	CodeAnswerNotOurs      Code = 3005
	CodeAnswerCut          Code = 3006
	CodeCacheGone          Code = 3007
	CodeServerGone         Code = 3008
	CodeNoRoom             Code = 2006
	CodeOverQuota          Code = 2007
	CodeQuotaUnknown       Code = 2008
	CodeNoQuorum           Code = 4001
	CodeNotReady           Code = 4002
	CodeLinkDown           Code = 4003
	CodeCancelled          Code = 4004
	CodeRevisionConflict   Code = 4005
	CodeChangeOtherContent Code = 4006
	CodeKeeperUnreachable  Code = 4007
)
