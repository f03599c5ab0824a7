/**
 * What must hold of settings and membership, checked after every step. The
 * first broken rule is printed and kept.
 */
#ifndef FUZZ_SETTINGS_ORACLE_H
#define FUZZ_SETTINGS_ORACLE_H

#include "fleet.h"

/** A version that operators were told of is in force after this long on every
 * daemon that takes new work. */
#define ORACLE_IN_FORCE_US INT64_C(3000000)
/** Without faults a version is in force everywhere after this long. */
#define ORACLE_SETTLED_US INT64_C(10000000)

struct oracle;

/** Fits struct fleet_ops; its context is an oracle. */
extern const struct fleet_ops oracle_ops;

struct oracle *oracle_create(void);
void oracle_destroy(struct oracle *oracle);

/** Sets the fleet that is watched. */
void oracle_watch(struct oracle *oracle, const struct fleet *fleet);

/**
 * A link, a daemon or its pause began to fail now. What was published shortly
 * before or after may not have reached daemons that have no table.
 */
void oracle_disturbed(struct oracle *oracle);

/** Checks the daemons; after each step. */
void oracle_check(struct oracle *oracle);

/** Checks that all daemons have what the table has; after faults stopped. */
void oracle_check_settled(struct oracle *oracle);

/** Publishes told as accepted. */
unsigned int oracle_accepted(const struct oracle *oracle);

/** Checks of daemons without table excused because of a disturbance. */
unsigned int oracle_excused(const struct oracle *oracle);

/** Notes a broken rule; rule is a constant. */
void oracle_broken(struct oracle *oracle, const char *rule, const char *detail);

/** The first rule that was broken, or NULL. */
const char *oracle_rule(const struct oracle *oracle);

#endif
