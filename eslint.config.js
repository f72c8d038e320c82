import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

/// The linter's rules: Standard style, with no enums and named exports only.
export default [
  ...neostandard({
    ts: true,
    ignores: [...resolveIgnoresFromGitignore(), '**/generated/**']
  }),
  {
    files: ['**/*.ts', '**/*.js'],
    rules: {
      '@stylistic/max-len': ['error', { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true }]
    }
  },
  {
    files: ['**/*.ts'],
    ignores: ['vitest.config.ts'],
    rules: {
      // A constant object and the type of its values share a name.
      '@typescript-eslint/no-redeclare': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use a constant object.' },
        { selector: 'ExportDefaultDeclaration', message: 'Use a named export.' }
      ]
    }
  }
]
