/** Totals of a backend server since its start. */
export type BackendCounts = {
	connections: number;
	openConnections: number;
	/** Most connections open at once. */
	maximumOpenConnections: number;
	probes: number;
	begun: number;
	shed: number;
	/** Requests whose caller or deadline went before a slot came. */
	aborted: number;
	/** Requests that came while the server drained. */
	refusedInDrain: number;
	cancelled: number;
	/** Most requests in service and in the queue at once. */
	maximumInFlight: number;
};

export function createBackendCounts(): BackendCounts {
	return {
		connections: 0,
		openConnections: 0,
		maximumOpenConnections: 0,
		probes: 0,
		begun: 0,
		shed: 0,
		aborted: 0,
		refusedInDrain: 0,
		cancelled: 0,
		maximumInFlight: 0,
	};
}
