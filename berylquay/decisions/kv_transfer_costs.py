"""Time and penalty of transferring KV cache between engines, by where they are."""

from typing import Final

from attrs import define, field, frozen

from berylquay.decisions.route_table import EngineProperties
from berylquay.decisions.topology import Topology

BITS_PER_BYTE: Final = 8
BITS_PER_MS_PER_MBPS: Final = 1000.0
BYTES_PER_GB: Final = 1e9


@frozen
class KVTransferOptions:
    """Weights of transfers between data centres; penalties are in milliseconds of latency."""

    # Factors on the transfer time of KV cache between data centres of one region and between
    # regions.
    same_region_factor: float = 2.0
    cross_region_factor: float = 10.0
    # Penalty for each gigabyte of KV cache transferred between regions, besides the transfer time.
    cross_region_penalty_ms_per_gb: float = 70.0


@define
class KVTransferCosts:
    """Predicts transfers between engines of one pool."""

    _options: KVTransferOptions
    _topology: Topology
    # Properties common to the engines of the pool, or None while they are unknown.
    properties: EngineProperties | None = field(default=None, init=False)

    def transfer_ms(self, tokens: int, source: str, destination: str) -> float:
        """Returns the time of transferring the KV cache of tokens between data centres.

        0 while the bandwidth of the engines' links is unknown.
        """
        properties = self.properties
        if properties is None or properties.link_mbps <= 0.0:
            return 0.0
        bits = tokens * properties.kv_bytes_per_token * BITS_PER_BYTE
        transfer_ms = bits / (properties.link_mbps * BITS_PER_MS_PER_MBPS)
        return transfer_ms * self.time_factor(source, destination)

    def time_factor(self, source: str, destination: str) -> float:
        """Returns by how much a transfer is slower than one within a data centre."""
        if source == destination:
            return 1.0
        if self._is_in_one_region(source, destination):
            return self._options.same_region_factor
        return self._options.cross_region_factor

    def penalty_ms(self, tokens: int, source: str, destination: str) -> float:
        """Returns the penalty for transferring the KV cache of tokens between regions."""
        if self.properties is None or self._is_in_one_region(source, destination):
            return 0.0
        size_gb = tokens * self.properties.kv_bytes_per_token / BYTES_PER_GB
        return size_gb * self._options.cross_region_penalty_ms_per_gb

    def _is_in_one_region(self, source: str, destination: str) -> bool:
        return self._topology.region_of(source) == self._topology.region_of(destination)
