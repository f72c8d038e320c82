export { Admission } from './admission.js'
