import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {describe, it} from 'node:test';
import {toCustomerBudgetId, type Effect} from '@parsleyvale/kernel';
import {expect} from 'earl';
import {SessionRecorder} from './session-recorder.js';

const goldenFile = new URL(
	'../../../../golden/requests-session.txt',
	import.meta.url,
);

function findWrite(effects: readonly Effect[]): Effect | undefined {
	return effects.find((effect) => effect.type === 'write-object');
}

function recordLookups(session: SessionRecorder): void {
	session.startSection('a look-up of an entry; refused once, then answered');
	session.arrive(10, 'r1', {path: '/entries/tea'});
	session.runAttempt(11, 'r1', 1, 'refused');
	session.runAttempt(16, 'r1', 2, 'answered');
	session.startSection('no route, wrong method, no key, key not known');
	session.arrive(30, 'r2', {path: '/entrieshidden'});
	session.arrive(31, 'r3', {path: '/entries', method: 'PUT'});
	session.arrive(32, 'r4', {path: '/entries', keyHash: undefined});
	session.arrive(33, 'r5', {path: '/entries', keyHash: 'other'});
}

function recordPurchases(session: SessionRecorder): void {
	const purchase = {path: '/purchases', idempotencyKey: 'p-1'};
	session.startSection('a purchase whose claim is answered, and its repeats');
	const [claim] = session.arrive(100, 'r10', purchase);
	session.answerWrite(103, {kind: 'written', version: 1}, claim);
	session.arrive(104, 'r11', purchase);
	session.arrive(105, 'r12', {...purchase, fingerprint: 'f2'});
	session.runAttempt(106, 'r10', 1, 'answered');
	session.startSection(
		'a purchase whose claim lost its answer; the server dies',
	);
	const lostPurchase = {...purchase, idempotencyKey: 'p-2'};
	const [write] = session.arrive(200, 'r13', lostPurchase);
	const [read] = session.answerWrite(205, {kind: 'unknown'}, write);
	const value = write?.type === 'write-object' ? write.value : undefined;
	session.answerRead(208, read, value);
	session.runAttempt(209, 'r13', 1, 'unknown');
	session.arrive(220, 'r14', lostPurchase);
	session.startSection('a purchase that no server took gives its claim up');
	const [thirdClaim] = session.arrive(300, 'r15', {
		...lostPurchase,
		idempotencyKey: 'p-3',
	});
	session.router.hasServer = false;
	const effects = session.answerWrite(
		303,
		{kind: 'written', version: 1},
		thirdClaim,
	);
	session.answerWrite(306, {kind: 'written', version: 2}, findWrite(effects));
	session.router.hasServer = true;
	session.startSection('the store is not reached');
	const [fourthClaim] = session.arrive(400, 'r16', {
		...lostPurchase,
		idempotencyKey: 'p-4',
	});
	session.answerWrite(401, {kind: 'failed'}, fourthClaim);
	session.handle(1400, {type: 'tick'});
}

function recordLimits(session: SessionRecorder): void {
	const budgetId = toCustomerBudgetId('lesson');
	session.startSection('a share that is lent in time, and one that is not');
	session.budgets.tokens.set(budgetId, 0);
	session.arrive(2000, 'r20', {path: '/entries/a'});
	session.budgets.tokens.set(budgetId, 1);
	session.handle(2006, {type: 'budget-changed', budgetId});
	session.arrive(2010, 'r21', {path: '/entries/b'});
	session.handle(2270, {type: 'tick'});
	session.runAttempt(2271, 'r20', 1, 'answered');
	session.startSection(
		'waiting for room; a key withdrawn meanwhile; a deadline',
	);
	session.budgets.tokens.set(budgetId, 9);
	session.router.slots = 1;
	session.arrive(2300, 'r22', {path: '/entries/c'});
	session.arrive(2301, 'r23', {path: '/entries/d', keyHash: 'key:school'});
	session.arrive(2302, 'r24', {path: '/entries/e'});
	session.arrive(2303, 'r25', {path: '/entries/f', deadline: 2310});
	session.handle(2320, {type: 'tick'});
	session.configuration.withdrawn.add('key:school');
	session.runAttempt(2321, 'r22', 1, 'answered');
	session.handle(4400, {type: 'tick'});
	session.startSection('the attempt that passed its deadline ends late');
	session.runAttempt(4401, 'r24', 1, 'unknown');
}

function recordStop(session: SessionRecorder): void {
	session.startSection('a caller goes away; the host stops');
	session.arrive(5000, 'r30', {path: '/entries/g'});
	session.handle(5001, {type: 'request-cancelled', requestId: 'r30'});
	session.handle(5002, {type: 'intake-closed'});
	session.arrive(5003, 'r31', {path: '/entries/h'});
	session.runAttempt(5004, 'r30', 1, 'unknown');
}

describe('golden request session', () => {
	it('produces the recorded effects', () => {
		const session = new SessionRecorder();
		session.configure(0);
		session.budgets.tokens.set(toCustomerBudgetId('lesson'), 100);
		recordLookups(session);
		recordPurchases(session);
		recordLimits(session);
		recordStop(session);
		if (process.env.UPDATE_GOLDEN === '1') {
			writeFileSync(goldenFile, session.text);
		}

		expect(session.text).toEqual(readFileSync(goldenFile, 'utf8'));
	});
});
