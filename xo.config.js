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
			// Conventional short names such as `args` and `env` are allowed.
			'unicorn/prevent-abbreviations': 'off',
			// JSON and the Node.js APIs represent absent values as null.
			'unicorn/no-null': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			// Loops await each step where operations must run in order.
			'no-await-in-loop': 'off',
			// XO only warns by default; as an error it fails the lint run.
			'no-warning-comments': 'error',
		},
	},
	{
		files: ['platform/src/*.ts', 'packages/soak/src/*.ts'],
		rules: {
			// The fields of the platform's messages and settings use snake_case.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['**/__tests__/**/*.ts'],
		rules: {
			// The runner of node:test awaits the promises of describe and it.
			'@typescript-eslint/no-floating-promises': 'off',
			'@typescript-eslint/naming-convention': 'off',
		},
	},
];

export default configuration;
