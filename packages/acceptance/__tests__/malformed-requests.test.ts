import {after, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {createFleet, schoolKey, sendRaw, startSample} from '../src/index.js';

type MalformedInput = {
	readonly name: string;
	readonly bytes: string;
	/** Expected status of the first response. */
	readonly status: number;
};

const authorizationField = `Authorization: Bearer ${schoolKey}\r\n`;
const hostField = 'Host: desk\r\n';
const blankLine = '\r\n';
const smuggledRequest = `GET /entries/smuggled HTTP/1.1\r\n${hostField}${authorizationField}${blankLine}`;

function createGet(target: string, fields = ''): string {
	return `GET ${target} HTTP/1.1\r\n${hostField}${authorizationField}${fields}${blankLine}`;
}

function createPost(fields: string, body: string): string {
	return `POST /echo HTTP/1.1\r\n${hostField}${authorizationField}${fields}${blankLine}${body}`;
}

const inputs: readonly MalformedInput[] = [
	{
		name: 'both Content-Length and Transfer-Encoding',
		bytes: createPost(
			'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n',
			`0\r\n\r\n${smuggledRequest}`,
		),
		status: 400,
	},
	{
		name: 'Transfer-Encoding before Content-Length',
		bytes: createPost(
			'Transfer-Encoding: chunked\r\nContent-Length: 4\r\n',
			`0\r\n\r\n${smuggledRequest}`,
		),
		status: 400,
	},
	{
		name: 'two Content-Lengths that differ',
		bytes: createPost(
			'Content-Length: 0\r\nContent-Length: 9\r\n',
			smuggledRequest,
		),
		status: 400,
	},
	{
		name: 'two equal Content-Lengths',
		bytes: createPost('Content-Length: 2\r\nContent-Length: 2\r\n', 'ab'),
		status: 400,
	},
	{
		name: 'a list in Content-Length',
		bytes: createPost('Content-Length: 2, 2\r\n', 'ab'),
		status: 400,
	},
	{
		name: 'a negative Content-Length',
		bytes: createPost('Content-Length: -1\r\n', ''),
		status: 400,
	},
	{
		name: 'a plus sign in Content-Length',
		bytes: createPost('Content-Length: +2\r\n', 'ab'),
		status: 400,
	},
	{
		name: 'a hexadecimal Content-Length',
		bytes: createPost('Content-Length: 0x2\r\n', 'ab'),
		status: 400,
	},
	{
		name: 'a Content-Length out of range',
		bytes: createPost('Content-Length: 99999999999999999999999\r\n', 'ab'),
		status: 400,
	},
	{
		name: 'an empty Content-Length',
		bytes: createPost('Content-Length: \r\n', ''),
		status: 400,
	},
	{
		name: 'an unknown Transfer-Encoding',
		bytes: createPost('Transfer-Encoding: cow\r\n', ''),
		status: 400,
	},
	{
		name: 'a Transfer-Encoding whose last coding is not chunked',
		bytes: createPost('Transfer-Encoding: chunked, gzip\r\n', '0\r\n\r\n'),
		status: 400,
	},
	{
		name: 'a Transfer-Encoding with chunked twice',
		bytes: createPost('Transfer-Encoding: chunked, chunked\r\n', '0\r\n\r\n'),
		status: 400,
	},
	{
		name: 'two Transfer-Encoding fields',
		bytes: createPost(
			'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n',
			'0\r\n\r\n',
		),
		status: 400,
	},
	{
		name: 'a space before the colon',
		bytes: createPost('Content-Length : 2\r\n', 'ab'),
		status: 400,
	},
	{
		name: 'a tab before the colon of Transfer-Encoding',
		bytes: createPost(
			'Transfer-Encoding\t: chunked\r\n',
			`0\r\n\r\n${smuggledRequest}`,
		),
		status: 400,
	},
	{
		name: 'an obsolete line folding',
		bytes: createGet('/entries/a', 'X-A: b\r\n Transfer-Encoding: chunked\r\n'),
		status: 400,
	},
	{
		name: 'a header field without a colon',
		bytes: createGet('/entries/a', 'nonsense\r\n'),
		status: 400,
	},
	{
		name: 'an empty header name',
		bytes: createGet('/entries/a', ': x\r\n'),
		status: 400,
	},
	{
		name: 'a NUL in a header value',
		bytes: createGet('/entries/a', 'X-A: a\u0000b\r\n'),
		status: 400,
	},
	{
		name: 'a bare CR in a header value',
		bytes: createGet('/entries/a', 'X-A: a\rX-Customer: reader\r\n'),
		status: 400,
	},
	{
		name: 'a bare LF as line terminator',
		bytes: `GET /entries/a HTTP/1.1\n${hostField}${authorizationField}${blankLine}`,
		status: 400,
	},
	{
		name: 'an invalid chunk size',
		bytes: createPost(
			'Transfer-Encoding: chunked\r\n',
			'zz\r\nab\r\n0\r\n\r\n',
		),
		status: 400,
	},
	{
		name: 'a missing Host',
		bytes: `GET /entries/a HTTP/1.1\r\n${authorizationField}${blankLine}`,
		status: 400,
	},
	{
		name: 'two Host fields',
		bytes: createGet('/entries/a', 'Host: other\r\n'),
		status: 400,
	},
	{
		name: 'HTTP/1.0',
		bytes: `GET /entries/a HTTP/1.0\r\n${hostField}${authorizationField}${blankLine}`,
		status: 400,
	},
	{
		name: 'HTTP/3.7',
		bytes: `GET /entries/a HTTP/3.7\r\n${hostField}${authorizationField}${blankLine}`,
		status: 400,
	},
	{
		name: 'the HTTP/2 connection preface',
		bytes: 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
		status: 400,
	},
	{
		name: 'a missing method',
		bytes: ` /entries/a HTTP/1.1\r\n${hostField}${blankLine}`,
		status: 400,
	},
	{
		name: 'an unknown method',
		bytes: `STEAL /entries/a HTTP/1.1\r\n${hostField}${authorizationField}${blankLine}`,
		status: 400,
	},
	{
		name: 'a method that the route does not allow',
		bytes: `DELETE /entries/a HTTP/1.1\r\n${hostField}${authorizationField}${blankLine}`,
		status: 405,
	},
	{
		name: 'CONNECT',
		bytes: `CONNECT desk:80 HTTP/1.1\r\n${hostField}${authorizationField}${blankLine}`,
		status: 400,
	},
	{
		name: 'an asterisk-form target',
		bytes: `OPTIONS * HTTP/1.1\r\n${hostField}${authorizationField}${blankLine}`,
		status: 400,
	},
	{name: 'dot segments', bytes: createGet('/open/../entries/a'), status: 400},
	{
		name: 'encoded dot segments',
		bytes: createGet('/open/%2e%2e/a'),
		status: 400,
	},
	{
		name: 'an encoded slash',
		bytes: createGet('/open%2f..%2fentries'),
		status: 400,
	},
	{
		name: 'a backslash',
		bytes: createGet(String.raw`/open\..\entries`),
		status: 400,
	},
	{name: 'a double slash', bytes: createGet('//entries/a'), status: 400},
	{name: 'an encoded NUL', bytes: createGet('/entries/a%00'), status: 400},
	{
		name: 'an invalid percent-encoding',
		bytes: createGet('/entries/%zz'),
		status: 400,
	},
	{name: 'a fragment', bytes: createGet('/entries/a#b'), status: 400},
	{
		name: 'a target above the size limit',
		bytes: createGet(`/entries/${'a'.repeat(9000)}`),
		status: 413,
	},
	{
		name: 'a header above the size limit',
		bytes: createGet('/entries/a', `X-A: ${'a'.repeat(20_000)}\r\n`),
		status: 413,
	},
	{
		name: 'the key in the query',
		bytes: createGet(`/entries/a?key=${schoolKey}`),
		status: 400,
	},
	{
		name: 'the key percent-encoded in the query',
		bytes: createGet(`/entries/a?k=${schoolKey.replace('pv_', '%70v_')}`),
		status: 400,
	},
	{
		name: 'two keys',
		bytes: createGet(
			'/entries/a',
			`Authorization: Bearer ${'x'.repeat(20)}\r\n`,
		),
		status: 400,
	},
	{
		name: 'an unsupported authorization scheme',
		bytes: `GET /entries/a HTTP/1.1\r\n${hostField}Authorization: Basic abc\r\n${blankLine}`,
		status: 400,
	},
	{
		name: 'a Connection field that lists Authorization',
		bytes: createGet('/entries/a', 'Connection: authorization\r\n'),
		status: 400,
	},
	{
		name: 'a Connection field that lists Content-Length',
		bytes: createPost(
			'Content-Length: 2\r\nConnection: content-length\r\n',
			'ab',
		),
		status: 400,
	},
	{
		name: 'a customer header spelled with an underscore',
		bytes: createGet('/entries/a', 'X_Customer: reader\r\n'),
		status: 400,
	},
	{
		name: 'two Idempotency-Key fields',
		bytes: createPost(
			'Content-Length: 0\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n',
			'',
		),
		status: 400,
	},
	{
		name: 'an empty Idempotency-Key',
		bytes: createPost('Content-Length: 0\r\nIdempotency-Key: \r\n', ''),
		status: 400,
	},
	{
		name: 'a deadline that is not a number',
		bytes: createGet('/entries/a', 'X-Deadline-Ms: soon\r\n'),
		status: 400,
	},
	{
		name: 'an unknown expectation',
		bytes: createGet('/entries/a', 'Expect: a-miracle\r\n'),
		status: 400,
	},
];

describe('malformed requests', () => {
	const fleet = createFleet();
	const started = startSample(fleet, 1);

	before(async () => {
		await started;
	});

	after(async () => {
		await fleet.close();
	});

	async function countExecutions(): Promise<number> {
		const sample = await started;
		const lists = await Promise.all(
			sample.servers.map(async (server) =>
				fleet.callServer(server, 'GET', '/executions'),
			),
		);
		return lists.flatMap((list) => list as unknown[]).length;
	}

	it('covers at least forty inputs', () => {
		expect(inputs.length).toBeGreaterThanOrEqual(40);
	});

	for (const {name, bytes, status} of inputs) {
		it(`refuses ${name} without forwarding it to a server`, async () => {
			const {hosts} = await started;
			const {location, readyMessage} = hosts[0]!;
			const countBefore = await countExecutions();
			const responses = await sendRaw(
				location.address,
				readyMessage.callers,
				bytes,
				1,
			);
			expect(responses.statuses[0]).toEqual(status);
			expect(responses.text).toMatchRegex(/"notRun":true/);
			expect(await countExecutions()).toEqual(countBefore);
		});
	}

	it('processes the request before a malformed one and nothing after it', async () => {
		const {hosts} = await started;
		const {location, readyMessage} = hosts[0]!;
		const first = createGet('/entries/first');
		const second = createPost(
			'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n',
			smuggledRequest,
		);
		const countBefore = await countExecutions();
		const responses = await sendRaw(
			location.address,
			readyMessage.callers,
			first + second + smuggledRequest,
		);
		expect(responses.statuses.length).toBeLessThanOrEqual(2);
		expect(responses.text).not.toMatchRegex(/smuggled/);
		expect((await countExecutions()) - countBefore).toBeLessThanOrEqual(1);
	});
});
