const mebibyte = 1024 * 1024;
/** Memory of a process that serves ordinary load and holds no bodies. */
const baseBytes = 96 * mebibyte;
/** Freed buffers stay resident until the next garbage collection, so the rest is used by about a third. */
const usableFraction = 0.35;
/** Requests and small bodies are objects on the heap, beside those of the program. */
const usableHeapFraction = 0.5;
const minimumBytes = 8 * mebibyte;

/**
 * Computes the bound of the account from the memory that the process may use, and
 * from the limit of its heap.
 *
 * @example
 * estimateMaximumBytes(350 * 1024 * 1024, 2 ** 31); // 89 MiB
 */
export function estimateMaximumBytes(
	memoryBytes: number,
	heapBytes: number,
): number {
	const usableBytes = Math.min(
		(memoryBytes - baseBytes) * usableFraction,
		heapBytes * usableHeapFraction,
	);
	return Math.max(minimumBytes, usableBytes);
}
