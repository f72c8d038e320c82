import type { Histogram } from 'hdr-histogram-js'
// The library's index also loads its log writers, which takes a seventh of the CPU time of a process start.
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js'

const minLatencyMs = 1
const maxLatencyMs = 60_000
const significantDigits = 2
const bitsPerBucket = 32
const LatencyHistogram = constructorFromBucketSize(bitsPerBucket)
const percentiles = [50, 90, 99]

/// The counters, gauges and latency histograms of a process, in the Prometheus text exposition format. The name of a
/// counter may contain labels in braces.
export class Metrics {
  private readonly counters = new Map<string, number>()
  private readonly gauges = new Map<string, () => number>()
  private readonly histograms = new Map<string, Histogram>()

  increment (name: string, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by)
  }

  addGauge (name: string, read: () => number): void {
    this.gauges.set(name, read)
  }

  observeMs (name: string, valueMs: number): void {
    let histogram = this.histograms.get(name)
    if (histogram === undefined) {
      histogram = new LatencyHistogram(minLatencyMs, maxLatencyMs, significantDigits)
      this.histograms.set(name, histogram)
    }
    histogram.recordValue(Math.min(Math.max(Math.round(valueMs), 0), maxLatencyMs))
  }

  toText (): string {
    const lines: string[] = []
    for (const [name, value] of this.counters) lines.push(`chicorynotch_${name} ${value}`)
    for (const [name, read] of this.gauges) lines.push(`chicorynotch_${name} ${read()}`)
    for (const [name, histogram] of this.histograms) {
      for (const percentile of percentiles) {
        const value = histogram.getValueAtPercentile(percentile)
        lines.push(`chicorynotch_${name}_ms{quantile="${percentile / 100}"} ${value}`)
      }
      lines.push(`chicorynotch_${name}_ms_count ${histogram.totalCount}`)
    }
    return lines.join('\n') + '\n'
  }
}
