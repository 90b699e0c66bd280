import {flag, multioption, number, option, array, string} from 'cmd-ts';

export const jsonOption = flag({
	long: 'json',
	description: 'Print JSON instead of text',
});

/** Options of every command that calls entry hosts. */
export const connectionOptions = {
	urls: multioption({
		type: array(string),
		long: 'url',
		description:
			'Administration API URL of an entry host; repeat to add fallback hosts',
	}),
	credentialFile: option({
		type: string,
		long: 'credential-file',
		description: 'File that contains the administration credential',
	}),
	timeoutSeconds: option({
		type: number,
		long: 'timeout',
		description: 'Seconds to keep retrying',
		defaultValue: () => 30,
		defaultValueIsSerializable: true,
	}),
	json: jsonOption,
};
