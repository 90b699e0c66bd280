import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {CallerRequest} from '../src/caller-request.js';
import {computeFingerprint} from '../src/request-fingerprint.js';

const upload: CallerRequest = {
	requestId: '1',
	method: 'POST',
	target: '/buy/1?a=b',
	path: '/buy/1',
	hostName: 'a.example',
	keyHash: 'hash',
	affinity: undefined,
	timeLeft: 1000,
	bodyBytes: 6,
	forwardedHeaders: [],
};
const body = [Buffer.from('abcdef')];

function compute(values: Partial<CallerRequest> = {}, parts = body): string {
	const length = parts.reduce((sum, part) => sum + part.length, 0);
	return computeFingerprint({...upload, ...values}, length, parts);
}

describe('the fingerprint of a request', () => {
	it('is the same when it is sent again, however its body is sent', () => {
		const again = compute(
			{requestId: '2', timeLeft: 500, bodyBytes: undefined},
			[Buffer.from('abc'), Buffer.from('def')],
		);
		expect(again).toEqual(compute());
		expect(again).toEqual(expect.regex(/^[\da-f]{16}$/));
	});

	it('differs with the method, host name, target and body', () => {
		const fingerprints = new Set([
			compute(),
			compute({method: 'PUT'}),
			compute({hostName: 'b.example'}),
			compute({target: '/buy/1?a=c'}),
			compute({}, [Buffer.from('abcdeg')]),
			compute({}, [Buffer.from('abcdef\0')]),
			compute({}, []),
		]);
		expect(fingerprints.size).toEqual(7);
	});

	it('of a long body depends on its beginning and its length', () => {
		const long = Buffer.alloc(100_000, 'x');
		const other = Buffer.concat([long.subarray(1), Buffer.from('y')]);
		expect(compute({}, [long])).toEqual(compute({}, [other]));
		expect(compute({}, [long])).not.toEqual(compute({}, [long, other]));
	});
});
