#!/usr/bin/env python3
"""Bytes and round trips that two replicas exchange to find one part that differs.

Compares a flat list of names and digests, a binary tree of digests that is walked from its root,
and a delta by revision, for several numbers of parts. Contents are not counted.
"""

import math

DIGEST = 16
NAME = 24
REVISION = 8
MESSAGE = 20


def flat(parts):
    """One message with every name and digest."""
    return MESSAGE + parts * (NAME + DIGEST), 1


def tree(parts):
    """Both digests of a node's children on each level, and the name of the leaf."""
    levels = math.ceil(math.log2(parts))
    total = MESSAGE + DIGEST
    for _ in range(levels):
        total += MESSAGE + 1 + MESSAGE + 2 * DIGEST
    return total + NAME, levels + 1


def delta(_parts):
    """The asker's revision; the reference that changed and the digest over all."""
    return MESSAGE + REVISION + MESSAGE + NAME + DIGEST + REVISION + DIGEST, 1


def main():
    print("| parts | flat list | tree | delta by revision |")
    print("|---|---|---|---|")
    for parts in (100, 300, 800, 2000):
        cells = [f"{size:,} B, {trips} trips" for size, trips in (flat(parts), tree(parts), delta(parts))]
        print(f"| {parts} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
