import type { Instance } from '#process/instances'

/// What the bodies beyond the small ones may take at one instance, of this process's calls. It allows one body of the
/// largest size; an instance that is sent many at once runs out of memory.
export const maxBodyBytesAtInstance = 4 * 1024 * 1024
/// Of bodies up to this size there are never more than an instance has slots.
const smallBodyBytes = 64 * 1024

/// Whether a body counts in the bound of an instance.
export function isLargeBody (bytes: number): boolean {
  return bytes > smallBodyBytes
}

/// Counts the bytes of the bodies that this process has in flight at each instance.
export class BodiesInFlight {
  private readonly bytesByInstance = new WeakMap<Instance, number>()

  /// Whether the instance may be sent the body. Any body may be sent to one that has no large ones.
  hasRoom (instance: Instance, bytes: number): boolean {
    if (!isLargeBody(bytes)) return true
    const heldBytes = this.bytesByInstance.get(instance) ?? 0
    return heldBytes === 0 || heldBytes + bytes <= maxBodyBytesAtInstance
  }

  /// Returns a function that takes the body off again; it must be called once.
  add (instance: Instance, bytes: number): () => void {
    if (!isLargeBody(bytes)) return () => {}
    this.change(instance, bytes)
    return () => this.change(instance, -bytes)
  }

  private change (instance: Instance, bytes: number): void {
    this.bytesByInstance.set(instance, (this.bytesByInstance.get(instance) ?? 0) + bytes)
  }
}
