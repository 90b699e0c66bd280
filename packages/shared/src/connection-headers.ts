/** Header names that concern one connection and are never passed on. */
export const connectionHeaders: readonly string[] = [
	'connection',
	'proxy-connection',
	'keep-alive',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'http2-settings',
];
