/** @type {import('xo').FlatXoConfig} */
const configuration = [
	{
		ignores: [
			'**/dist/**',
			'target/**',
			'journal/**',
			'**/generated/**',
			'golden/**',
		],
	},
	{
		prettier: 'compat',
		rules: {
			// The brief asks for the customary short names of the language.
			'unicorn/prevent-abbreviations': 'off',
			// A caller's absent value is null in JSON and in Node's own interfaces.
			'unicorn/no-null': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			// Work that must stay in order awaits in its loop.
			'no-await-in-loop': 'off',
			// Warnings turned into errors make every run give the same verdict.
			'no-warning-comments': 'error',
		},
	},
	{
		files: ['platform/src/*.ts', 'packages/soak/src/*.ts'],
		rules: {
			// The platform's messages spell their fields in their own way.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['**/__tests__/**/*.ts'],
		rules: {
			// The runner of node:test keeps the promise of describe and it.
			'@typescript-eslint/no-floating-promises': 'off',
			'@typescript-eslint/naming-convention': 'off',
		},
	},
];

export default configuration;
