/** The entry host on which the tests' kernels run. */
export const self = {
	name: 'tpe-a-1',
	incarnation: '1',
	region: 'tpe',
	failureDomain: 'tpe-a',
	callers: {address: '127.0.0.1', port: 1},
	peers: {address: '127.0.0.1', port: 2},
	leaving: false,
};
