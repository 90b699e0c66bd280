import {formatProblem, type Problem} from '@parsleyvale/shared';

/** Every way in which a command can fail. The list is closed. */
export type CtlError =
	| {readonly kind: 'wrong-command-line'; readonly message: string}
	| {readonly kind: 'invalid-folder'; readonly problems: readonly Problem[]}
	| {
			readonly kind: 'invalid-configuration';
			readonly problems: readonly Problem[];
	  }
	| {
			readonly kind: 'version-conflict';
			/** The version that the change was based on. */
			readonly expectedVersion: number;
			/** The newer version, created by another operator. */
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

/** The list of exit codes in the help text. */
export const exitCodeHelp = [
	'Exit codes:',
	'0  success, or nothing to change',
	'1  invalid command line',
	'2  invalid folder or configuration',
	'3  another operator changed the same configuration or object; both versions are reported',
	'4  no entry host could be reached; nothing was changed',
	'5  outcome unknown; the change may have been made',
	'6  credential not accepted',
	'7  object not found',
	'8  change not allowed; nothing was changed',
	'9  malformed response from the entry host',
].join('\n');

/** Formats an error as lines of text. */
export function formatError(error: CtlError): string[] {
	switch (error.kind) {
		case 'invalid-folder':
		case 'invalid-configuration': {
			return error.problems.map((problem) => formatProblem(problem));
		}

		case 'version-conflict': {
			const {expectedVersion, version} = error;
			return [
				`Conflict: the change was made for version ${expectedVersion}, ` +
					`and another operator has made version ${version}. ` +
					'Review it with "get" and try again.',
			];
		}

		case 'outcome-unknown': {
			return [
				'The response was lost and the outcome could not be determined. ' +
					`The change ${error.operationId} may have been made: ` +
					'check with "get" before trying again.',
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
