package policy

import "time"

// quotaBurst is the time over which a tenant may accumulate unused quota.
const quotaBurst = time.Second

// tenantQuotas determines which requests are over their tenant's quota. Such requests are not rejected, but have a
// lower priority. Each node assumes that it receives an even share of the traffic.
type tenantQuotas struct {
	settings *Settings
	// quotaUsedUntil is kept by tenant: each request within quota moves this time on by one request's share of a
	// second. Requests are over quota while it would be in the future.
	quotaUsedUntil []Instant
}

// priorityFactor counts a request and returns the factor to apply to its priority weight: 1 within its tenant's quota.
func (q *tenantQuotas) priorityFactor(now Instant, tenant TenantID) float64 {
	if tenant < 0 || int(tenant) >= len(q.quotaUsedUntil) || q.settings.Tenants[tenant].QuotaPerSecond <= 0 {
		return 1
	}
	perRequest := float64(time.Second) * float64(q.settings.Nodes) / q.settings.Tenants[tenant].QuotaPerSecond
	usedUntil := max(q.quotaUsedUntil[tenant].Add(time.Duration(perRequest)), now.Add(-quotaBurst))
	if usedUntil > now {
		return q.settings.OverQuotaWeight
	}
	q.quotaUsedUntil[tenant] = usedUntil
	return 1
}
