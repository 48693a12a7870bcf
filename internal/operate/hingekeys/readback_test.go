package hingekeys

import (
	"math/rand/v2"
	"testing"

	"github.com/swifthinge/swifthinge/internal/core/hingefakedisk"
)

const keyDraws = 2_000

// keyHistory is a series of commands in one folder; acknowledged are those that ended without an error.
type keyHistory struct {
	folder       keyFolder
	acknowledged map[string]bool
}

// runCommand creates what is missing, and renews a certificate whose key a command before left behind.
func (h *keyHistory) runCommand(id string) {
	_, err := h.folder.readKey(id)
	switch {
	case err != nil && id == authorityID:
		err = h.folder.createAuthority(startTime)
	case err != nil:
		err = h.folder.createHost("cancale-1", startTime)
	case id == authorityID:
		private, _ := h.folder.readKey(id)
		err = h.folder.signAuthority(private, startTime, h.folder.replaceFile)
	default:
		err = h.folder.renewHost("cancale-1", startTime)
	}
	if err == nil {
		h.acknowledged[id] = true
	}
}

// Guards against keys and certificates that a command reported as created or renewed, and that a power loss takes.
func TestAcknowledgedKeysSurviveAPowerLoss(t *testing.T) {
	for seed := range uint64(keyDraws) {
		d := hingefakedisk.New(seed)
		random := rand.New(rand.NewPCG(seed, 3))
		h := &keyHistory{
			folder:       keyFolder{d},
			acknowledged: make(map[string]bool),
		}
		for range 1 + random.IntN(5) {
			if random.IntN(2) == 0 {
				d.StopAfter(random.IntN(12))
			}
			for _, id := range []string{authorityID, "cancale-1"} {
				h.runCommand(id)
			}
			if random.IntN(2) == 0 {
				d.Kill()
			} else {
				d.LosePower()
			}
		}
		d.LosePower()
		for id := range h.acknowledged {
			_, keyErr := h.folder.readKey(id)
			_, certificateErr := h.folder.readCertificates(fileNames(id).Certificate)
			if keyErr != nil || certificateErr != nil {
				t.Fatalf("seed %d: %s was acknowledged; key: %v, certificate: %v", seed, id, keyErr, certificateErr)
			}
		}
	}
}
