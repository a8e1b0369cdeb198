package ctl

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"merlintiller/internal/protocol"
	"merlintiller/internal/transport/operatorapi"
)

// secretBytes is the size of a secret in bytes: 256 random bits can't be guessed.
const secretBytes = 32

// idBytes is the size of a random id in bytes. The probability of a collision among
// 10^6 ids is 10^-12.
const idBytes = 10

type keyCommands struct {
	Create   keyCreate   `cmd:"" help:"Create a key for an organisation. Its secret is shown once."`
	Withdraw keyWithdraw `cmd:"" help:"Withdraw a key, so that it stops working within seconds."`
	List     keyList     `cmd:"" help:"List keys."`
}

type keyCreate struct {
	Organisation string `arg:"" help:"Organisation that the key acts for."`
}

// Help shows examples.
func (keyCreate) Help() string {
	return joinLines("The secret is printed to the standard output once and not stored: the configuration holds its hash.",
		"After a lost answer run it again for a new key, and withdraw the key whose id was printed.",
		"", "Example: tillerctl key create hollister-field")
}

// createdKey is the output of key create.
type createdKey struct {
	ID           protocol.KeyID          `json:"id"`
	Organisation protocol.OrganisationID `json:"organisation"`
	Secret       string                  `json:"secret"`
	Version      protocol.Offset         `json:"version"`
}

// Run creates the key and shows its secret once the key is in force.
func (c *keyCreate) Run(env *Env) error {
	org := protocol.OrganisationID(c.Organisation)
	answer, err := fetchFleetWith(env, org)
	if err != nil {
		return err
	}
	key, secret, err := newKey(env, org)
	if err != nil {
		return err
	}
	version, err := publishKey(env, answer.Fleet.Version, key)
	if err != nil {
		return err
	}
	created := createdKey{ID: key.ID, Organisation: org, Secret: secret, Version: version}
	t := table{heading: []string{"KEY", "ORGANISATION", "SECRET"}}
	t.add(string(key.ID), c.Organisation, secret)
	return env.show(result{data: created, table: t,
		summary: fmt.Sprintf("key %s is in force as version %d; the secret above is shown only once", key.ID, version),
		next:    "give the secret to the callers; tillerctl key withdraw " + string(key.ID) + " makes it invalid"})
}

// maxKeyAttempts limits how often a new key is published again after a conflict. A
// new key can't contradict another change, so the operator need not decide anything.
const maxKeyAttempts = 5

func publishKey(env *Env, basedOn protocol.Offset, key protocol.Key) (protocol.Offset, error) {
	for range maxKeyAttempts {
		change := protocol.FleetChange{BasedOn: basedOn, Set: []protocol.FleetObject{{Key: &key}}}
		done, err := publish(env, change)
		if err == nil {
			return done.Version, nil
		}
		exit := asFailure(err).Exit
		if exit != ExitConflict && exit != ExitMayHaveTakenEffect {
			return 0, err
		}
		answer, fetchErr := fetchFleetWith(env, key.Organisation)
		if fetchErr != nil {
			return 0, uncertainKey(err, key.ID)
		}
		if _, ok := answer.Fleet.Keys[key.ID]; ok {
			return answer.Fleet.Version, nil
		}
		if exit == ExitMayHaveTakenEffect {
			return 0, uncertainKey(err, key.ID)
		}
		basedOn = answer.Fleet.Version
	}
	return 0, fail(ExitConflict, "run the same command again", "other changes were published first %d times; no key was created", maxKeyAttempts)
}

// uncertainKey returns the failure for a key that may have been created although the
// answer was lost. Nobody has seen its secret, so the key does no harm; the operator
// is asked to withdraw it so that no unused key remains.
func uncertainKey(err error, id protocol.KeyID) error {
	failure := asFailure(err)
	if failure.Exit != ExitMayHaveTakenEffect {
		return err
	}
	return fail(failure.Exit, fmt.Sprintf("run key withdraw %s, then key create again", id),
		"%s; key %s may exist, but its secret was not shown", failure.Message, id)
}

func newKey(env *Env, org protocol.OrganisationID) (protocol.Key, string, error) {
	id, err := randomID(env, "key")
	if err != nil {
		return protocol.Key{}, "", err
	}
	random := make([]byte, secretBytes)
	if _, err := io.ReadFull(env.Random, random); err != nil {
		return protocol.Key{}, "", err
	}
	secret := protocol.SecretPrefix + base64.RawURLEncoding.EncodeToString(random)
	sum := sha256.Sum256([]byte(secret))
	return protocol.Key{ID: protocol.KeyID(id), Organisation: org, SHA256: hex.EncodeToString(sum[:])}, secret, nil
}

func randomID(env *Env, prefix string) (string, error) {
	random := make([]byte, idBytes)
	if _, err := io.ReadFull(env.Random, random); err != nil {
		return "", err
	}
	return prefix + "-" + hex.EncodeToString(random), nil
}

type keyWithdraw struct {
	Key string `arg:"" help:"Id of the key."`
}

// Help shows examples.
func (keyWithdraw) Help() string {
	return joinLines("Also works while the platform's log is down: the instance rejects the key at once and notifies the others.",
		"Safe to run again.",
		"", "Example: tillerctl key withdraw key-0a1b2c3d4e5f60718293 --instance 10.0.0.1:8003")
}

// Run withdraws the key.
func (c *keyWithdraw) Run(env *Env) error {
	if protocol.KeyID(c.Key).LooksLikeSecret() {
		return fail(ExitBadInput, "tillerctl key list shows the ids", "this is the secret of a key, not its id; it was not sent to any instance")
	}
	var answer operatorapi.WithdrawAnswer
	path := operatorapi.PathKeys + url.PathEscape(c.Key) + "/withdraw"
	// A withdrawal is idempotent, so every instance is tried in order.
	err := env.Operator.JSON(env.Context, request{method: http.MethodPost, path: path, idempotent: true}, &answer)
	if err != nil {
		return err
	}
	t := table{heading: []string{"KEY", "IN LOG", "TOLD", "NOT REACHED"}}
	t.add(c.Key, fmt.Sprint(answer.InLog), fmt.Sprint(len(answer.Confirmed)), fmt.Sprint(answer.Unreached))
	return env.show(result{data: answer, table: t, summary: answer.Message, next: answer.Next})
}

type keyList struct {
	Organisation string `help:"Only keys of this organisation."`
}

// Help shows examples.
func (keyList) Help() string { return "Example: tillerctl key list --organisation hollister-field" }

// listedKey is a key without its hash, which is not needed in a list.
type listedKey struct {
	ID           protocol.KeyID          `json:"id"`
	Organisation protocol.OrganisationID `json:"organisation"`
	Withdrawn    bool                    `json:"withdrawn"`
}

// Run lists the keys.
func (c *keyList) Run(env *Env) error {
	answer, err := fetchFleet(env)
	if err != nil {
		return err
	}
	listed := []listedKey{}
	t := table{heading: []string{"KEY", "ORGANISATION", "STATE"}}
	for _, key := range sortedValues(answer.Fleet.Keys) {
		if c.Organisation != "" && string(key.Organisation) != c.Organisation {
			continue
		}
		listed = append(listed, listedKey{key.ID, key.Organisation, key.Withdrawn})
		state := "in use"
		if key.Withdrawn {
			state = "withdrawn"
		}
		t.add(string(key.ID), string(key.Organisation), state)
	}
	return env.show(result{data: listed, table: t,
		summary: fmt.Sprintf("%d keys of version %d at %s", len(listed), answer.Fleet.Version, answer.Instance)})
}
