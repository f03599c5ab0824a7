/**
 * Encodes the loads of upstreams in few bytes. The loads of all VMs together
 * are columns with one byte for each numbered upstream, compressed; a VM's own
 * report lists only the upstreams that it has to do with.
 */
#ifndef LOADS_LOAD_COLUMNS_H
#define LOADS_LOAD_COLUMNS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Load of one upstream, without the upstream's identity. All counts but
 * flights cover the time since the last message. */
struct load_entry {
	/** Requests in flight now. */
	unsigned int flights;
	unsigned int answers;
	/** Mean, over the answers, of the response time divided by the usual
	 * time of the route. */
	double relative;
	unsigned int failures;
	/** Factor on the usual execution time that the upstream reports; 0: not
	 * reported. */
	double work_factor;
};

/** Largest count that a column holds. It stands for higher numbers of requests
 * in flight as well; larger outcomes are scaled down to it. */
#define LOAD_COUNT_MAX 255

/** Relative error of an encoded ratio, at most. */
#define LOAD_RATIO_ERROR 0.025

/** Encodes a ratio from 0.02 to about 900 in one byte on a logarithmic scale; 0
 * stays 0. */
uint8_t load_ratio_encode(double ratio);
/** Decodes a ratio. */
double load_ratio_decode(uint8_t code);

/** Compresses the requests in flight.
 *
 * @param entries by number
 * @return the bytes, freed by the caller */
GByteArray *load_flights_encode(const struct load_entry *entries, size_t count);

/** Sets the requests in flight of each entry.
 *
 * @param count number of entries for which the bytes were encoded
 * @return false when the bytes are damaged; the entries are then unchanged */
bool load_flights_decode(const uint8_t *data, size_t len,
			 struct load_entry *entries, size_t count);

/** Compresses answers, ratios and failures; parameters as above. */
GByteArray *load_outcomes_encode(const struct load_entry *entries,
				 size_t count);
/** Sets answers, ratios and failures of each entry. */
bool load_outcomes_decode(const uint8_t *data, size_t len,
			  struct load_entry *entries, size_t count);

/** An entry of a VM's report. */
struct load_report_entry {
	/** Number of the upstream. */
	uint32_t number;
	struct load_entry load;
};

/** Encodes a VM's report.
 *
 * @param entries (struct load_report_entry); sorted by the call
 * @return the bytes, freed by the caller */
GByteArray *load_report_encode(GArray *entries);

/** Decodes a VM's report.
 *
 * @return entries (struct load_report_entry), freed by the caller; NULL when
 *         the bytes are damaged */
GArray *load_report_decode(const uint8_t *data, size_t len);

#endif
