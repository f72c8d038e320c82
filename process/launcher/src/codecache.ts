import { closeSync, fsyncSync, openSync, readFileSync, renameSync, writeSync } from 'node:fs'
import { crc32 } from 'node:zlib'

/// What a code cache was made from and for. V8 itself checks neither the cache's contents nor the kind of machine, and
/// of the bundle only the length.
interface CodeCacheHeader {
  readonly bundleBytes: number
  readonly bundleChecksum: number
  readonly cacheBytes: number
  readonly cacheChecksum: number
  readonly node: string
  readonly v8: string
  readonly platform: string
  readonly arch: string
}

/// A code cache that V8 may be given, or why there is none.
export type CodeCache = { readonly data: Buffer } | { readonly problem: string }

const newLine = 0x0a

/// Reads the code cache of a bundle. Never throws.
export function readCodeCache (file: string, bundle: Buffer): CodeCache {
  try {
    const contents = readFileSync(file)
    const headerEnd = contents.indexOf(newLine)
    const data = contents.subarray(headerEnd + 1)
    const differing = compareHeaders(contents.toString('utf8', 0, Math.max(headerEnd, 0)), createHeader(bundle, data))
    return differing.length === 0 ? { data } : { problem: `it differs in ${differing.join(', ')}` }
  } catch (error) {
    return { problem: (error as Error).message }
  }
}

/// Replaces the code cache of a bundle as a whole, also while others read or replace it.
export function writeCodeCache (file: string, bundle: Buffer, data: Buffer): void {
  const newFile = `${file}.${process.pid}.new`
  const contents = Buffer.concat([Buffer.from(`${JSON.stringify(createHeader(bundle, data))}\n`), data])
  const descriptor = openSync(newFile, 'w')
  for (let offset = 0; offset < contents.length;) offset += writeSync(descriptor, contents, offset)
  fsyncSync(descriptor)
  closeSync(descriptor)
  renameSync(newFile, file)
}

function createHeader (bundle: Buffer, data: Buffer): CodeCacheHeader {
  return {
    bundleBytes: bundle.length,
    bundleChecksum: crc32(bundle),
    cacheBytes: data.length,
    cacheChecksum: crc32(data),
    node: process.version,
    v8: process.versions.v8,
    platform: process.platform,
    arch: process.arch
  }
}

/// Returns the names of the fields that differ.
function compareHeaders (text: string, expected: CodeCacheHeader): string[] {
  const found = parseHeader(text)
  if (found === null) return ['its header']
  return Object.entries(expected).filter(([name, value]) => found[name] !== value).map(([name]) => name)
}

function parseHeader (text: string): Readonly<Record<string, unknown>> | null {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' ? value as Readonly<Record<string, unknown>> | null : null
  } catch {
    return null
  }
}
