"""Shares: how much of the recent work each tenant has had, against what is its by declaration."""

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from berylquay.decisions.deployment import TenantSpec

# No tenant may have this name: the INI reader strips section names.
_ALL_TENANTS: Final = " "


class TenantShares:
    """Sums each tenant's recent work with exponential decay, at a fixed cost per call."""

    # Time in which past work loses all but 1/e of its weight.
    _decay_time_s: float
    # Part of the whole that is each tenant's.
    _share_fractions: dict[str, float]
    # Decayed work by tenant, as of the time beside it.
    _work_s: defaultdict[str, float]
    _updated_s: defaultdict[str, float]

    def __init__(self, tenants: Iterable[TenantSpec], decay_time_s: float = 60.0) -> None:
        specs = tuple(tenants)
        total_share = sum(tenant.share for tenant in specs) or 1.0
        self._decay_time_s = decay_time_s
        self._share_fractions = {tenant.name: tenant.share / total_share for tenant in specs}
        self._work_s = defaultdict(float)
        self._updated_s = defaultdict(float)

    def add_work(self, tenant: str, work_s: float, now_s: float) -> None:
        """Counts work that was admitted for the tenant."""
        self._add_work(tenant, work_s, now_s)
        self._add_work(_ALL_TENANTS, work_s, now_s)

    def usage_ratio(self, tenant: str, now_s: float) -> float:
        """Returns the tenant's part of all recent work against its declared part.

        Above 1 the tenant has had more than its share; one that was not declared has no share.
        Where no tenant was declared, none has too much.
        """
        if not self._share_fractions:
            return 1.0
        total_work_s = self._decayed_work_s(_ALL_TENANTS, now_s)
        entitled_work_s = self._share_fractions.get(tenant, 0.0) * total_work_s
        if entitled_work_s <= 0.0:
            return 0.0 if tenant in self._share_fractions else math.inf
        return self._decayed_work_s(tenant, now_s) / entitled_work_s

    def _decayed_work_s(self, tenant: str, now_s: float) -> float:
        elapsed_s = now_s - self._updated_s[tenant]
        return self._work_s[tenant] * math.exp(-elapsed_s / self._decay_time_s)

    def _add_work(self, tenant: str, work_s: float, now_s: float) -> None:
        self._work_s[tenant] = self._decayed_work_s(tenant, now_s) + work_s
        self._updated_s[tenant] = now_s
