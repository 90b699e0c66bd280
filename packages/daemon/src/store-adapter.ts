import type {KernelDriver} from '@parsleyvale/kernel';
import type {Closeable, PlatformClient} from '@parsleyvale/platform';

/** Executes the kernel's reads, writes and watches in the platform's store. */
export class StoreAdapter {
	readonly #platform: PlatformClient;
	readonly #driver: KernelDriver;
	readonly #watches = new Map<string, Closeable>();

	constructor(platform: PlatformClient, driver: KernelDriver) {
		this.#platform = platform;
		this.#driver = driver;
		driver.onEffect('read-object', ({operationId, name}) => {
			void this.#read(operationId, name);
		});
		driver.onEffect('write-object', (effect) => {
			void this.#write(
				effect.operationId,
				effect.name,
				effect.expectedVersion,
				effect.value,
			);
		});
		driver.onEffect('watch-object', ({name}) => {
			this.#watch(name);
		});
	}

	close(): void {
		for (const watch of this.#watches.values()) {
			watch.close();
		}

		this.#watches.clear();
	}

	#watch(name: string): void {
		if (this.#watches.has(name)) {
			return;
		}

		const watch = this.#platform.watchObject(name, (object) => {
			this.#driver.handle({
				type: 'object-changed',
				object: {...object, name},
			});
		});
		this.#watches.set(name, watch);
	}

	async #read(operationId: string, name: string): Promise<void> {
		const result = await this.#platform.readObject(name);
		this.#driver.handle({type: 'object-read', operationId, name, result});
	}

	async #write(
		operationId: string,
		name: string,
		expectedVersion: number,
		value: unknown,
	): Promise<void> {
		const result = await this.#platform.writeObject(
			name,
			expectedVersion,
			value,
		);
		this.#driver.handle({type: 'object-written', operationId, name, result});
	}
}
