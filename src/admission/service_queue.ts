import {Contract} from '../contracts/contract.js';
import {URGENCIES, Urgency} from '../contracts/urgency.js';
import {DequeueRateEstimator} from './dequeue_rate_estimator.js';
import {FloorAccount, FloorScheduler} from './floor_scheduler.js';
import {Flow, FlowScheduler} from './flow_scheduler.js';
import {LinkedItem, LinkedQueue} from './linked_queue.js';
import {RunTimeMean} from './run_time_mean.js';
import {WaitingRequest} from './waiting_request.js';

/** Waiting requests of one caller in one class. */
interface CallerFlow extends Flow {
  queue: LinkedQueue<QueuedRequest>;
}

/** Waiting requests of one customer in one class. */
interface CustomerFlow extends Flow {
  callers: FlowScheduler<CallerFlow>;
  waiting: number;
  account: Account;
}

/** Waiting requests of one class. */
interface ClassQueue {
  customers: FlowScheduler<CustomerFlow>;
  waiting: number;
  rate: DequeueRateEstimator;
  runTime: RunTimeMean;
  account: Account;
}

/** Floor account of a class or of a customer in a class. */
interface Account extends FloorAccount {
  classQueue: ClassQueue;
  /** The customer, or undefined for the account of the class itself. */
  customer: CustomerFlow | undefined;
}

/** A request in a {@link ServiceQueue}. */
export interface QueuedRequest extends LinkedItem<QueuedRequest> {
  readonly request: WaitingRequest;
  readonly deadlineMs: number;
  readonly classQueue: ClassQueue;
  readonly customer: CustomerFlow;
  readonly caller: CallerFlow;
  /** Estimated run time in ms that was charged when it was dequeued. */
  chargedMs: number;
}

/** Initial state of an account or flow that is in no heap. */
const INACTIVE = {heapIndex: -1, isActive: false};

function createClassQueue(classFloor: number): ClassQueue {
  const classQueue: ClassQueue = {
    customers: new FlowScheduler(),
    waiting: 0,
    rate: new DequeueRateEstimator(),
    runTime: new RunTimeMean(),
    account: undefined as unknown as Account,
  };
  const customer = undefined;
  const floor = classFloor;
  classQueue.account = {
    ...INACTIVE,
    floor,
    eligibleAtMs: 0,
    classQueue,
    customer,
  };
  return classQueue;
}

/**
 * Waiting requests of one service. Classes are served in order of urgency,
 * customers of a class by weighted fair queueing, and callers of a customer by
 * fair queueing with equal weights. Classes and customers that are below their
 * floor are served before all others.
 */
export class ServiceQueue {
  private readonly classes = new Map<Urgency, ClassQueue>();
  private readonly floors = new FloorScheduler<Account>();
  private readonly runTime = new RunTimeMean();
  private slotsInUse = 0;
  /** Most slots in use at once since the queue was created. */
  private mostSlotsInUse = 0;
  private waitingTotal = 0;

  /** @param classFloor - Fraction of slots guaranteed to each class, 0 to 1. */
  constructor(classFloor: number) {
    for (const urgency of URGENCIES) {
      this.classes.set(urgency, createClassQueue(classFloor));
    }
  }

  /** Number of waiting requests. */
  get waiting(): number {
    return this.waitingTotal;
  }

  /** Mean run time of a class in ms, or of all classes if it has none yet. */
  runTimeMs(urgency: Urgency): number {
    return this.classes.get(urgency)!.runTime.meanMs ?? this.runTime.estimateMs;
  }

  /** Excludes a pause of the process from the measured dequeue rates. */
  excludePause(pauseMs: number): void {
    for (const {rate} of this.classes.values()) rate.excludePause(pauseMs);
  }

  /** Adds a request at the back of its caller's queue, or at the front. */
  add(
    request: WaitingRequest,
    contract: Contract,
    options: {atFront: boolean},
  ): QueuedRequest {
    const classQueue = this.classes.get(request.urgency)!;
    const customer = this.getOrCreateCustomer(classQueue, request, contract);
    const caller = this.getOrCreateCaller(customer, request);
    const {deadlineMs} = request;
    const queued: QueuedRequest = {
      request,
      deadlineMs,
      classQueue,
      customer,
      caller,
      chargedMs: 0,
      previous: undefined,
      next: undefined,
    };
    this.recordWaiting(queued);
    if (options.atFront) caller.queue.pushFront(queued);
    else caller.queue.push(queued);
    return queued;
  }

  /** Removes a waiting request in constant time. */
  remove(queued: QueuedRequest): void {
    const {classQueue, customer, caller} = queued;
    caller.queue.remove(queued);
    this.waitingTotal -= 1;
    classQueue.waiting -= 1;
    customer.waiting -= 1;
    if (caller.queue.size === 0) customer.callers.deactivate(caller);
    if (customer.waiting === 0) {
      classQueue.customers.deactivate(customer);
      this.floors.deactivate(customer.account);
    }
    if (classQueue.waiting === 0) this.floors.deactivate(classQueue.account);
  }

  /** Returns the request to serve next without removing it. */
  peek(): QueuedRequest | undefined {
    if (this.waitingTotal === 0) return undefined;
    const eligible = this.floors.firstEligible();
    const classQueue = eligible?.classQueue ?? this.mostUrgentClass();
    const customer = eligible?.customer ?? classQueue?.customers.first();
    return customer?.callers.first()?.queue.peek();
  }

  /** Dequeues a request to be served and charges its estimated run time. */
  dequeue(queued: QueuedRequest): void {
    const {classQueue, customer, caller} = queued;
    const costMs = this.runTimeMs(queued.request.urgency);
    this.remove(queued);
    this.slotsInUse += 1;
    this.mostSlotsInUse = Math.max(this.mostSlotsInUse, this.slotsInUse);
    queued.chargedMs = costMs;
    classQueue.rate.recordDequeue();
    classQueue.customers.charge(customer, costMs);
    customer.callers.charge(caller, costMs);
    this.chargeFloors(queued, costMs);
  }

  /**
   * Records the end of a dequeued request and corrects its charge.
   *
   * @param runTimeMs - Undefined if the request did not run to its end.
   */
  recordEnd(queued: QueuedRequest, runTimeMs: number | undefined): void {
    const {classQueue, customer, caller} = queued;
    this.slotsInUse -= 1;
    const differenceMs = (runTimeMs ?? 0) - queued.chargedMs;
    classQueue.customers.adjust(customer, differenceMs);
    customer.callers.adjust(caller, differenceMs);
    this.floors.advance(differenceMs);
    this.floors.adjust(customer.account, differenceMs);
    this.floors.adjust(classQueue.account, differenceMs);
    if (runTimeMs === undefined) {
      classQueue.rate.undoDequeue();
      return;
    }
    this.runTime.add(runTimeMs);
    classQueue.runTime.add(runTimeMs);
  }

  /**
   * Estimates in ms how long a further request would wait, from its position
   * under fair queueing and the measured dequeue rate of its class.
   */
  expectedWaitMs(request: WaitingRequest, nowMs: number): number {
    const classQueue = this.classes.get(request.urgency)!;
    if (classQueue.waiting === 0) return 0;
    return (
      this.positionOf(classQueue, request) *
      this.dequeueIntervalMs(classQueue, nowMs)
    );
  }

  /** Time in ms until about a quarter of the customer's queue is served. */
  drainTimeMs(request: WaitingRequest, nowMs: number): number {
    const classQueue = this.classes.get(request.urgency)!;
    const customer = classQueue.customers.get(request.customer);
    const {activeWeight} = classQueue.customers;
    if (!customer?.isActive) return this.runTimeMs(request.urgency);
    const turns = (customer.waiting / 4) * (activeWeight / customer.weight);
    const requests = Math.min(classQueue.waiting, turns);
    return requests * this.dequeueIntervalMs(classQueue, nowMs);
  }

  private positionOf(classQueue: ClassQueue, request: WaitingRequest): number {
    const customer = classQueue.customers.get(request.customer);
    if (!customer) return 1;
    const caller = customer.callers.get(request.caller);
    const callerWaiting = caller?.queue.size ?? 0;
    const callers = customer.callers.activeWeight;
    const ahead = Math.min(customer.waiting, callerWaiting * callers);
    const weights = classQueue.customers.activeWeight / customer.weight;
    return 1 + Math.min(classQueue.waiting, ahead * Math.max(1, weights));
  }

  private dequeueIntervalMs(classQueue: ClassQueue, nowMs: number): number {
    // Until the dequeue rate is known, the class is assumed to get all slots. At
    // the start of a burst most of them are not in use yet.
    const runTimeMs = this.runTime.estimateMs;
    const byRunTimeMs = runTimeMs / Math.max(1, this.mostSlotsInUse);
    return classQueue.rate.meanIntervalMs(nowMs, 2 * runTimeMs) ?? byRunTimeMs;
  }

  private chargeFloors(queued: QueuedRequest, costMs: number): void {
    this.floors.advance(costMs);
    // Debt is limited to one turnover of the slots in use.
    const maxDebtMs = this.slotsInUse * this.runTime.estimateMs;
    this.floors.charge(queued.customer.account, {costMs, maxDebtMs});
    this.floors.charge(queued.classQueue.account, {costMs, maxDebtMs});
  }

  private mostUrgentClass(): ClassQueue | undefined {
    for (const classQueue of this.classes.values()) {
      if (classQueue.waiting > 0) return classQueue;
    }
    return undefined;
  }

  private getOrCreateCustomer(
    classQueue: ClassQueue,
    request: WaitingRequest,
    contract: Contract,
  ): CustomerFlow {
    const {floor} = contract.urgencies[request.urgency];
    let customer = classQueue.customers.get(request.customer);
    if (!customer) {
      const callers = new FlowScheduler<CallerFlow>();
      const weight = contract.share;
      const account: Account = {
        ...INACTIVE,
        floor,
        eligibleAtMs: 0,
        classQueue,
        customer: undefined,
      };
      customer = {
        ...INACTIVE,
        virtualTimeMs: 0,
        weight,
        callers,
        waiting: 0,
        account,
      };
      account.customer = customer;
      classQueue.customers.add(request.customer, customer);
    }
    classQueue.customers.setWeight(customer, contract.share);
    this.floors.setFloor(customer.account, floor);
    return customer;
  }

  private getOrCreateCaller(
    customer: CustomerFlow,
    request: WaitingRequest,
  ): CallerFlow {
    let caller = customer.callers.get(request.caller);
    if (!caller) {
      const queue = new LinkedQueue<QueuedRequest>();
      caller = {...INACTIVE, virtualTimeMs: 0, weight: 1, queue};
      customer.callers.add(request.caller, caller);
    }
    return caller;
  }

  private recordWaiting(queued: QueuedRequest): void {
    const {classQueue, customer, caller, request} = queued;
    if (classQueue.waiting === 0) {
      this.floors.activate(classQueue.account);
      classQueue.rate.start(request.arrivedMs);
    }
    if (customer.waiting === 0) {
      classQueue.customers.activate(customer);
      this.floors.activate(customer.account);
    }
    if (caller.queue.size === 0) customer.callers.activate(caller);
    this.waitingTotal += 1;
    classQueue.waiting += 1;
    customer.waiting += 1;
  }
}
