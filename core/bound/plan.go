package bound

const (
	// Shares of the memory that each listener may hold for its clients, and that large answers may take. The rest is for the host's
	// own state and for garbage that is not collected yet.
	callerMemory   = 0.25
	ownMemory      = 0.05
	operatorMemory = 0.08
	readyMemory    = 0.02
	peerMemory     = 0.12
	answerMemory   = 0.15
	// fileDescriptors are left to files, at most half of all.
	fileDescriptors = 200
	// Shares of the other descriptors. The rest is for connections to backend servers, to other hosts and to the store.
	callerConns   = 0.45
	ownConns      = 0.05
	operatorConns = 0.02
	readyConns    = 0.02
	peerConns     = 0.25
	// connBytes is what an open connection without a request takes: its buffer and its goroutine's stack. All connections of
	// clients to a listener together take at most half of its bytes.
	connBytes     = 16 << 10
	connBytesPart = 2
	// minConns is the smallest number of connections that a listener accepts.
	minConns = 8
	// The most connections that each listener accepts, also where nothing is stated.
	maxCallers   = 3000
	maxOwn       = 10_000
	maxOperators = 256
	maxReady     = 256
	maxPeers     = 4096
	// unstatedMemory is assumed where the host's memory is not stated.
	unstatedMemory = 8 << 30
	// minBytes lets each listener serve a few of its largest requests, however little memory there is.
	minBytes = 8 << 20
)

// Listener is what one listener may hold for all its clients together.
type Listener struct {
	// Conns is the number of open connections.
	Conns int
	// Bytes are the bytes of connections, requests and answers, ConnBytes those of a connection without a request.
	Bytes     int
	ConnBytes int
}

// Plan is how a host divides what it may hold for clients among its listeners.
type Plan struct {
	// Callers is for the platform's callers, Own for those of the project's own interface.
	Callers   Listener
	Own       Listener
	Operators Listener
	Ready     Listener
	Peers     Listener
	// AnswerBytes are for large answers, from the time at which a backend server's reply is read until the caller has read it.
	AnswerBytes int
}

// NewPlan returns the plan for a host with the given memory, in units of 2^20 bytes, and number of descriptors; 0 means that they
// are not stated.
func NewPlan(memoryMB, maxDescriptors int) Plan {
	memory := memoryMB << 20
	if memory == 0 {
		memory = unstatedMemory
	}
	bytes := func(share float64) int { return max(minBytes, int(share*float64(memory))) }
	conns := func(share float64, most int) int {
		if maxDescriptors == 0 {
			return most
		}
		sockets := maxDescriptors - min(fileDescriptors, maxDescriptors/2)
		return max(minConns, min(most, int(share*float64(sockets))))
	}
	listener := func(memoryShare, connShare float64, most int) Listener {
		l := Listener{
			Conns:     conns(connShare, most),
			Bytes:     bytes(memoryShare),
			ConnBytes: connBytes,
		}
		l.Conns = max(minConns, min(l.Conns, l.Bytes/connBytesPart/connBytes))
		return l
	}
	return Plan{
		Callers:     listener(callerMemory, callerConns, maxCallers),
		Own:         listener(ownMemory, ownConns, maxOwn),
		Operators:   listener(operatorMemory, operatorConns, maxOperators),
		Ready:       listener(readyMemory, readyConns, maxReady),
		Peers:       listener(peerMemory, peerConns, maxPeers),
		AnswerBytes: bytes(answerMemory),
	}
}
