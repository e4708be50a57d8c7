package magnoliaworks

import (
	"reflect"

	"magnoliaworks/core/relay"
	"magnoliaworks/core/setup"
)

// Reload applies those settings that may change while the host runs: the peers to join through and the fleet's bounds.
// If others differ too, it logs that some settings wait for the next start.
func (h *Host) Reload(s setup.Settings) {
	inForce := h.inForce.Load().WithReloadable(s)
	h.inForce.Store(&inForce)
	log := h.log.Named("host")
	if reflect.DeepEqual(inForce, s) {
		log.Info("settings reloaded: all are in force", "id", s.ID)
		return
	}
	log.Warn("settings reloaded: some wait for the next start", "id", s.ID)
}

// bounds returns the fleet's bounds in force.
func (h *Host) bounds() relay.Bounds {
	p := h.inForce.Load().Platform
	return relay.Bounds{
		RetryShare:   p.RetryShare,
		RetrySlack:   p.RetrySlack,
		RetryWindow:  p.RetryWindow,
		WarmupFactor: p.WarmupFactor,
		WarmupSlack:  p.WarmupSlack,

		ExposureShare: p.ExposureShare,
		ExposureSlack: p.ExposureSlack,
	}
}
