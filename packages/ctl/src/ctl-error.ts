import {toProblemLine, type Problem} from '@parsleyvale/shared';

/** Why a command did not do what it was asked. The list is closed. */
export type CtlError =
	| {readonly kind: 'wrong-command-line'; readonly message: string}
	| {readonly kind: 'invalid-folder'; readonly problems: readonly Problem[]}
	| {
			readonly kind: 'invalid-configuration';
			readonly problems: readonly Problem[];
	  }
	| {
			readonly kind: 'version-conflict';
			/** The version that the change was made for. */
			readonly expectedVersion: number;
			/** The version that another operator made. */
			readonly version: number;
	  }
	| {readonly kind: 'not-reached'; readonly message: string}
	| {readonly kind: 'outcome-unknown'; readonly operationId: string}
	| {readonly kind: 'not-authorized'; readonly message: string}
	| {readonly kind: 'not-found'; readonly message: string}
	| {readonly kind: 'not-allowed'; readonly message: string}
	| {readonly kind: 'malformed-answer'; readonly message: string};

export type CtlErrorKind = CtlError['kind'];

/** Exit code of the process for each kind of error. */
export const exitCodes: Readonly<Record<CtlErrorKind, number>> = {
	'wrong-command-line': 1,
	'invalid-folder': 2,
	'invalid-configuration': 2,
	'version-conflict': 3,
	'not-reached': 4,
	'outcome-unknown': 5,
	'not-authorized': 6,
	'not-found': 7,
	'not-allowed': 8,
	'malformed-answer': 9,
};

/** The part of the help that lists the exit codes. */
export const exitCodeHelp = [
	'Exit codes:',
	'0  done, or nothing to change',
	'1  the command line is wrong',
	'2  the folder or the configuration is not valid',
	'3  another operator changed the same: both versions are named',
	'4  no entry host was reached: nothing was changed',
	'5  the outcome is unknown: the change may have been made',
	'6  the credential is not accepted',
	'7  there is no such object',
	'8  the change is not allowed: nothing was changed',
	'9  the answer of the entry host was not understood',
].join('\n');

/** What a person reads of an error, line by line. */
export function formatError(error: CtlError): string[] {
	switch (error.kind) {
		case 'invalid-folder':
		case 'invalid-configuration': {
			return error.problems.map((problem) => toProblemLine(problem));
		}

		case 'version-conflict': {
			const {expectedVersion, version} = error;
			return [
				`Conflict: the change was made for version ${expectedVersion}, ` +
					`and another operator has made version ${version}. ` +
					'Look at it with "get" and try again.',
			];
		}

		case 'outcome-unknown': {
			return [
				'The answer was lost and the outcome could not be found out. ' +
					`The change ${error.operationId} may have been made: ` +
					'look with "get" before trying again.',
			];
		}

		case 'wrong-command-line':
		case 'not-reached':
		case 'not-authorized':
		case 'not-found':
		case 'not-allowed':
		case 'malformed-answer': {
			return [error.message];
		}
	}
}
