import tseslint from 'typescript-eslint';

// Naming and language rules follow the Google TypeScript Style Guide.
export default tseslint.config(
  {ignores: ['build/**', 'target/**', 'node_modules/**', 'eslint.config.js']},
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'no-var': 'error',
      'prefer-const': 'error',
      curly: ['error', 'multi-line'],
      '@typescript-eslint/explicit-function-return-type': [
        'error',
        {allowExpressions: true},
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/array-type': ['error', {default: 'array-simple'}],
      '@typescript-eslint/consistent-type-imports': 'off',
      // node:test returns promises from test() that the runner awaits itself.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {
              from: 'package',
              name: ['test', 'it', 'describe', 'suite'],
              package: 'node:test',
            },
          ],
        },
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
        {selector: 'classMethod', format: ['camelCase']},
        {
          selector: 'parameter',
          modifiers: ['unused'],
          format: ['camelCase'],
          leadingUnderscore: 'allow',
        },
        {
          selector: 'parameter',
          format: ['camelCase'],
          leadingUnderscore: 'forbid',
        },
        {
          selector: 'variable',
          modifiers: ['global', 'const'],
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
        },
        {selector: 'variable', format: ['camelCase', 'UPPER_CASE']},
      ],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'TSEnumDeclaration',
          message: 'Use a constant object instead of an enum.',
        },
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
      ],
    },
  },
  {files: ['**/*_test.ts'], rules: {'@typescript-eslint/require-await': 'off'}},
);
