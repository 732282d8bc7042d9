"""Use of capacity by each tenant, relative to its declared share."""

import math
from collections.abc import Iterable

from berylquay.decisions.deployment import TenantSpec
from berylquay.decisions.tenants.decayed_sums import ALL_TENANTS, DecayedSums


class TenantShares:
    """Sums each tenant's work with exponential decay, in constant time per call."""

    # Declared share of each tenant, as a fraction of the sum of all shares.
    _share_fractions: dict[str, float]
    _work_s: DecayedSums

    def __init__(self, tenants: Iterable[TenantSpec], decay_time_s: float = 60.0) -> None:
        specs = tuple(tenants)
        total_share = sum(tenant.share for tenant in specs) or 1.0
        self._share_fractions = {tenant.name: tenant.share / total_share for tenant in specs}
        self._work_s = DecayedSums(decay_time_s)

    def add_work(self, tenant: str, work_s: float, now_s: float) -> None:
        """Adds work that was admitted for the tenant, in engine seconds."""
        self._work_s.add(tenant, work_s, now_s)
        self._work_s.add(ALL_TENANTS, work_s, now_s)

    def usage_ratio(self, tenant: str, now_s: float) -> float:
        """Returns the tenant's fraction of all recent work, divided by its declared fraction.

        Above 1 the tenant has used more than its share. An undeclared tenant has no share and gets
        infinity; if no tenants are declared, every tenant gets 1.
        """
        if not self._share_fractions:
            return 1.0
        total_work_s = self._work_s.value(ALL_TENANTS, now_s)
        entitled_work_s = self._share_fractions.get(tenant, 0.0) * total_work_s
        if entitled_work_s <= 0.0:
            return 0.0 if tenant in self._share_fractions else math.inf
        return self._work_s.value(tenant, now_s) / entitled_work_s
