import type { Histogram } from 'hdr-histogram-js'
// The library's index also loads what writes log files, a seventh of a start's processor time.
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js'

const lowestMs = 1
const highestMs = 60_000
const significantDigits = 2
const bitsPerBucket = 32
const LatencyHistogram = constructorFromBucketSize(bitsPerBucket)
const quantiles = [50, 90, 99]

/// The counters and latency histograms of a process, written in the usual
/// text exposition format. A counter's name may carry labels in braces.
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
      histogram = new LatencyHistogram(lowestMs, highestMs, significantDigits)
      this.histograms.set(name, histogram)
    }
    histogram.recordValue(Math.min(Math.max(Math.round(valueMs), 0), highestMs))
  }

  toText (): string {
    const lines: string[] = []
    for (const [name, value] of this.counters) lines.push(`chicorynotch_${name} ${value}`)
    for (const [name, read] of this.gauges) lines.push(`chicorynotch_${name} ${read()}`)
    for (const [name, histogram] of this.histograms) {
      for (const quantile of quantiles) {
        const value = histogram.getValueAtPercentile(quantile)
        lines.push(`chicorynotch_${name}_ms{quantile="${quantile / 100}"} ${value}`)
      }
      lines.push(`chicorynotch_${name}_ms_count ${histogram.totalCount}`)
    }
    return lines.join('\n') + '\n'
  }
}
