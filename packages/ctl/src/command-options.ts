import {flag, multioption, number, option, array, string} from 'cmd-ts';

export const jsonOption = flag({
	long: 'json',
	description: 'Print JSON for scripts',
});

/** Options of every command that calls entry hosts. */
export const connectionOptions = {
	urls: multioption({
		type: array(string),
		long: 'url',
		description:
			'Administration API of an entry host; repeat it to name others to try',
	}),
	credentialFile: option({
		type: string,
		long: 'credential-file',
		description: 'File with the administration credential',
	}),
	timeoutSeconds: option({
		type: number,
		long: 'timeout',
		description: 'Seconds to go on trying',
		defaultValue: () => 30,
		defaultValueIsSerializable: true,
	}),
	json: jsonOption,
};
