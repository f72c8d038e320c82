import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

/// Linter rules: Standard style, no enums, named exports only.
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
      // A constant object and the union type of its values share a name.
      '@typescript-eslint/no-redeclare': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: 'Use a constant object instead of an enum.' },
        { selector: 'ExportDefaultDeclaration', message: 'Use a named export instead of a default export.' }
      ]
    }
  }
]
