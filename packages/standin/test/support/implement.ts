/** Makes an instance of an abstract class from its methods. */
export function implement<T extends object>(base: { readonly prototype: T }, methods: T): T {
  return Object.assign(Object.create(base.prototype) as T, methods);
}
