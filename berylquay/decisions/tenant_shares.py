"""Use of capacity by each tenant, relative to its declared share."""

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from berylquay.decisions.deployment import TenantSpec

# Key of the sum over all tenants. No tenant can have this name, since the INI reader strips section
# names.
_ALL_TENANTS: Final = " "


class TenantShares:
    """Sums each tenant's work with exponential decay, in constant time per call."""

    # Time constant of the decay: the time after which past work has 1/e of its weight.
    _decay_time_s: float
    # Declared share of each tenant, as a fraction of the sum of all shares.
    _share_fractions: dict[str, float]
    # Decayed work by tenant, and the time at which it was last updated.
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
        """Adds work that was admitted for the tenant, in engine seconds."""
        self._add_work(tenant, work_s, now_s)
        self._add_work(_ALL_TENANTS, work_s, now_s)

    def usage_ratio(self, tenant: str, now_s: float) -> float:
        """Returns the tenant's fraction of all recent work, divided by its declared fraction.

        Above 1 the tenant has used more than its share. An undeclared tenant has no share and gets
        infinity; if no tenants are declared, every tenant gets 1.
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
