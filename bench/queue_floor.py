#!/usr/bin/env python3
"""Lower bound of the latency of trace third-lost, without routing.

Each group of servers is one central queue, first come first served, in front
of all its slots: no policy that runs all the work can have shorter queues.
Prints the p99 without a fault, with it, and their ratio, for several seeds and
for one and three shards a group.

bench/queue_floor.py
"""
import heapq
import math
import random

GROUPS = 10
SLOTS = 9            # 3 replicas with 3 slots.
SLOTS_LEFT = 6
LOAD = 0.6
SERVICE_S = 0.008    # Median; log-normal with SIGMA.
SIGMA = 0.3
NETWORK_S = 0.003    # There and back.
LENGTH_S = 30
LOST_S = (6, 21)     # One replica of each group is down.
SEEDS = range(6)


def group_latencies(arrivals, shards, fault, draw):
    """Returns the latency of the slowest shard of one group, per query."""
    free = [0.0] * SLOTS
    lost = False
    latencies = []
    for now in arrivals:
        if fault and not lost and LOST_S[0] < now <= LOST_S[1]:
            free = sorted(free)[:SLOTS_LEFT]
            heapq.heapify(free)
            lost = True
        if lost and now > LOST_S[1]:
            for _ in range(SLOTS - SLOTS_LEFT):
                heapq.heappush(free, now)
            lost = False
        last = now
        for _ in range(shards):
            begin = max(heapq.heappop(free), now)
            end = begin + SERVICE_S * math.exp(SIGMA * draw.gauss(0, 1))
            heapq.heappush(free, end)
            last = max(last, end)
        latencies.append(last - now + NETWORK_S)
    return latencies


def p99_ms(shards, fault, seed):
    """Replays Poisson arrivals of queries to all shards of all groups."""
    draw = random.Random(seed)
    rate = LOAD * SLOTS / (SERVICE_S * math.exp(SIGMA ** 2 / 2)) / shards
    arrivals = []
    now = draw.expovariate(rate)
    while now < LENGTH_S:
        arrivals.append(now)
        now += draw.expovariate(rate)
    groups = [group_latencies(arrivals, shards, fault, draw)
              for _ in range(GROUPS)]
    slowest = sorted(max(query) for query in zip(*groups))
    return slowest[int(len(slowest) * 0.99)] * 1000


def main():
    """Prints one line for each size and seed."""
    for shards in (1, 3):
        for seed in SEEDS:
            plain = p99_ms(shards, False, seed)
            fault = p99_ms(shards, True, seed)
            print(f"shards a group {shards} seed {seed}: p99 {plain:.1f} ms, "
                  f"with a third lost {fault:.1f} ms, ratio "
                  f"{fault / plain:.2f}")


if __name__ == "__main__":
    main()
