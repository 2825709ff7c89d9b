// Package toll holds tenants to their quotas over all gateways together.
//
// A Meter stands at each gateway and decides by one TAT per tenant. A Counter
// stands in every process and acts where gateways name it as a holder: it sums,
// under a name made of tenant and period, what each gateway has passed.
package toll
