import {HeapItem, IndexedHeap} from './indexed_heap.js';

/** One of several flows that share a resource by weight. */
export interface Flow extends HeapItem {
  /**
   * Virtual time in ms of the flow: the service received, divided by weight.
   */
  virtualTimeMs: number;
  weight: number;
  /** True while the flow has waiting requests. */
  isActive: boolean;
}

/** Number of flows below which idle flows are not evicted. */
const MIN_EVICTION_SIZE = 64;

/**
 * Start-time fair queueing over flows: the active flow with the least virtual
 * time is served first. A flow that becomes active again starts at the virtual
 * time of the scheduler, so that idle time earns no credit.
 */
export class FlowScheduler<F extends Flow> {
  private readonly flows = new Map<string, F>();
  private readonly heap = new IndexedHeap<F>((flow) => flow.virtualTimeMs);
  private virtualTimeMs = 0;
  private weightSum = 0;
  private evictionThreshold = MIN_EVICTION_SIZE;

  /** Sum of the weights of all active flows. */
  get activeWeight(): number {
    return this.weightSum;
  }

  /** Returns a flow, or undefined if none was added under the name. */
  get(name: string): F | undefined {
    return this.flows.get(name);
  }

  /** Adds a flow. */
  add(name: string, flow: F): void {
    if (this.flows.size >= this.evictionThreshold) this.evictIdle();
    this.flows.set(name, flow);
  }

  /** Records that the flow has waiting requests. */
  activate(flow: F): void {
    flow.isActive = true;
    flow.virtualTimeMs = Math.max(flow.virtualTimeMs, this.virtualTimeMs);
    this.weightSum += flow.weight;
    this.heap.update(flow);
  }

  /**
   * Records that the flow has no waiting requests. It is removed from the heap
   * lazily, once it reaches the top.
   */
  deactivate(flow: F): void {
    flow.isActive = false;
    this.weightSum -= flow.weight;
  }

  /** Applies a changed weight. */
  setWeight(flow: F, weight: number): void {
    if (flow.isActive) this.weightSum += weight - flow.weight;
    flow.weight = weight;
  }

  /** Returns the active flow to serve next. */
  first(): F | undefined {
    for (;;) {
      const flow = this.heap.peek();
      if (!flow || flow.isActive) return flow;
      this.heap.remove(flow);
    }
  }

  /** Charges a flow for a service of `costMs` and advances virtual time. */
  charge(flow: F, costMs: number): void {
    this.virtualTimeMs = Math.max(this.virtualTimeMs, flow.virtualTimeMs);
    this.adjust(flow, costMs);
  }

  /** Corrects a charge by the difference between actual and charged time. */
  adjust(flow: F, differenceMs: number): void {
    flow.virtualTimeMs += differenceMs / flow.weight;
    if (flow.heapIndex >= 0) this.heap.update(flow);
  }

  /**
   * Evicts idle flows whose virtual time is not ahead of the scheduler's. The
   * cost is amortised over the flows added since the previous eviction.
   */
  private evictIdle(): void {
    for (const [name, flow] of this.flows) {
      if (flow.isActive || flow.virtualTimeMs > this.virtualTimeMs) continue;
      this.heap.remove(flow);
      this.flows.delete(name);
    }
    this.evictionThreshold = Math.max(MIN_EVICTION_SIZE, 2 * this.flows.size);
  }
}
