/// What is assumed of a line before there are samples, and its bounds.
export interface RegressionOptions {
  /// The slope that is assumed without samples.
  readonly priorSlope: number
  /// How strongly it is assumed, as a sum of squared distances of samples from their mean.
  readonly priorSpread: number
  readonly minSlope: number
  readonly maxSlope: number
  /// A sample further from its prediction counts as one at this distance.
  readonly getMaxResidual: (predicted: number) => number
}

/// With each new sample, the weight of the earlier ones is multiplied by 1 - 1 / memorySamples.
const memorySamples = 250
const minSamples = 8

/// A line through samples, of which later ones have more weight, robust to outliers.
export class DecayingRegression {
  private weight = 0
  private meanX = 0
  private meanY = 0
  private spreadX = 0
  private spreadXY = 0

  constructor (private readonly options: RegressionOptions) {}

  get slope (): number {
    const { priorSlope, priorSpread, minSlope, maxSlope } = this.options
    const slope = (this.spreadXY + priorSlope * priorSpread) / (this.spreadX + priorSpread)
    return Math.min(Math.max(slope, minSlope), maxSlope)
  }

  /// Null until there are a few samples.
  predict (x: number): number | null {
    return this.weight < minSamples ? null : this.meanY + (x - this.meanX) * this.slope
  }

  add (x: number, y: number): void {
    const limitedY = this.limit(x, y)
    const kept = 1 - 1 / memorySamples
    this.weight = this.weight * kept + 1
    const deltaX = x - this.meanX
    const deltaY = limitedY - this.meanY
    this.meanX += deltaX / this.weight
    this.meanY += deltaY / this.weight
    this.spreadX = this.spreadX * kept + deltaX * (x - this.meanX)
    this.spreadXY = this.spreadXY * kept + deltaX * (limitedY - this.meanY)
  }

  private limit (x: number, y: number): number {
    const predicted = this.predict(x)
    if (predicted === null) return y
    const maxResidual = this.options.getMaxResidual(predicted)
    return Math.min(Math.max(y, predicted - maxResidual), predicted + maxResidual)
  }
}
